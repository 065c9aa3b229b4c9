package replica

// lengths is what a class of requests at engines has shown of the tokens that they generate and read.
type lengths struct {
	// ratio is the distribution of the tokens generated as multiples of the caller's estimate, and
	// tokens that of their number without an estimate.
	ratio, tokens distribution
	reading       readingTime
}

// observe adds a request that generated a number of tokens.
func (l *lengths) observe(w Work, tokens int) {
	if w.ExpectedTokens > 0 {
		l.ratio.observe(float64(tokens) / float64(w.ExpectedTokens))
		return
	}
	l.tokens.observe(float64(tokens))
}

// expected returns the mean and a high quantile of the tokens that a request generates; 0 if nothing
// is known.
func (l *lengths) expected(w Work) (mean, high float64) {
	mean, high = l.tokens.mean, l.tokens.high
	if w.ExpectedTokens > 0 {
		estimate := float64(w.ExpectedTokens)
		mean, high = estimate, float64(w.MaxTokens)
		if l.ratio.mean > 0 {
			mean, high = estimate*l.ratio.mean, estimate*l.ratio.high
		}
	}
	if limit := float64(w.MaxTokens); limit > 0 {
		if high == 0 {
			high = limit
		}
		mean, high = min(mean, limit), min(high, limit)
	}
	return mean, high
}

// units returns the expected number of units of a request's answer, at least 1.
func (l *lengths) units(w Work) float64 {
	if w.TokensPerEvent <= 0 {
		return 1
	}
	mean, _ := l.expected(w)
	return max(mean/float64(w.TokensPerEvent), 1)
}

// footprint returns the tokens of memory that a request takes at most, but for rare ones; 0 for
// requests of plain services.
func (l *lengths) footprint(w Work) float64 {
	if w.TokensPerEvent <= 0 {
		return 0
	}
	_, high := l.expected(w)
	return float64(w.PromptTokens) + high
}

// lengthsLocked returns what a class of requests has shown.
func (s *Set) lengthsLocked(class string) *lengths {
	l := s.lengths[class]
	if l == nil {
		l = &lengths{}
		s.lengths[class] = l
	}
	return l
}
