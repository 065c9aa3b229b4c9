package logserver

// Faults are what the server does wrong on purpose. POST /faults sets them as a
// JSON document of this form; GET /faults returns them.
type Faults struct {
	// Down breaks every connection without an answer, and without effect.
	Down bool `json:"down"`
	// DelayMillis delays every answer, and the effect, by that many milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is how many of the next appends take effect without an answer. It
	// counts down.
	LoseAnswers int `json:"lose_answers"`
}
