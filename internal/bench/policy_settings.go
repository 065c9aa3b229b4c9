package bench

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cowslipgw/internal/sched"
)

// settingSetters returns a setter for each setting that the command line can change.
// Values are numbers; durations are in milliseconds.
func settingSetters(s *sched.Settings) map[string]func(float64) {
	milliseconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return map[string]func(float64){
		"ageing":       func(v float64) { s.AgeingRate = v },
		"cached-cost":  func(v float64) { s.CachedCost = v },
		"output-cost":  func(v float64) { s.OutputCost = v },
		"load-bound":   func(v float64) { s.LoadBound = v },
		"hold":         func(v float64) { s.CacheWait = v },
		"memory":       func(v float64) { s.MemoryWeight = v },
		"prefix-slack": func(v float64) { s.PrefixSlack = int(v) },
		"first-token":  func(v float64) { s.FirstToken = milliseconds(v) },
		"inter-token":  func(v float64) { s.InterToken = milliseconds(v) },
	}
}

// applySettings applies settings in a form such as "hold=0:ageing=100".
func applySettings(s *sched.Settings, text string) error {
	keys := settingSetters(s)
	for option := range strings.SplitSeq(text, ":") {
		key, value, _ := strings.Cut(option, "=")
		set, known := keys[key]
		if !known {
			return fmt.Errorf("unknown setting %q", key)
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("setting %q must be a number", key)
		}
		set(number)
	}
	return nil
}
