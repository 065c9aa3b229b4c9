package turns

// ContentInMemory returns the total size of the contents that the owner keeps in memory, in bytes.
func (o *Owner) ContentInMemory() int {
	o.contents.mu.Lock()
	defer o.contents.mu.Unlock()
	total := 0
	for _, element := range o.contents.entries {
		total += element.Value.(*contentEntry).content.size()
	}
	return total
}

// PendingContent returns the total size of the contents that wait for the store, in bytes.
func (o *Owner) PendingContent() int { return int(o.held.Load()) }
