package turns

// convertLocked reduces the preallocation of the owner that granted a turn without a record by that turn, since its
// settlement is about to be stored here: it would count twice until that owner releases it, and for
// good if that owner is lost. A later record of the granter replaces the number, so that the reduction is
// made again unless the record includes the turn.
func (p *partition) convertLocked(g *program, c *change) {
	granter := c.turn.Granter
	if granter == 0 || granter == p.writer || c.hadRecord || c.convertedAt == g.foreignOffset+1 {
		return
	}
	c.convertedAt = g.foreignOffset + 1
	if counted, known := g.foreign[granter]; known {
		g.foreign[granter] = max(counted-c.turn.Reserved, 0)
	}
}
