package logserver

// Faults selects the faults that the server injects. POST /faults sets them with
// a JSON document of this form; GET /faults returns them.
type Faults struct {
	// Down closes the connection of every request without a response and without
	// executing the request.
	Down bool `json:"down"`
	// DelayMillis delays the execution of every request, and thus its response, by
	// that many milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the number of upcoming appends that take effect but get no
	// response. It is decremented by each of them.
	LoseAnswers int `json:"lose_answers"`
}
