package turns

// convertLocked reduces the preallocation of the owner that granted a turn without a record by that turn, since its
// settlement is about to be stored here: it would count twice until that owner releases it, and for
// good if that owner is lost. A later record of the granter replaces the number, so that the reduction is
// made again unless the record includes the turn.
func (p *partition) convertLocked(g *program, c *change) {
	granter := c.turn.Granter
	if granter == 0 || granter == p.writer || c.convertedAt == g.foreignOffset+1 {
		return
	}
	if t := p.turns[c.turn.ID]; c.storedElsewhere || t != nil && t.offset >= 0 {
		return // Another owner has stored a settlement, and counts the turn once.
	}
	c.convertedAt = g.foreignOffset + 1
	if counted, known := g.foreign[granter]; known {
		g.foreign[granter] = max(counted-c.turn.Reserved, 0)
	}
}

// grantSettledElsewhere ends the preallocation of this owner but for what it has granted, since another
// owner has stored the settlement of one of the turns and counts as much less.
func (g *program) grantSettledElsewhere() {
	g.preallocation = min(g.preallocation, g.unrecordedTokens())
	g.recorded = min(g.recorded, g.preallocation)
}
