package admission

import "time"

const (
	// lateTurnPriority is the engine priority of the turns of programs that are late already.
	lateTurnPriority = 8
	// firstTurnPriority is that of the most urgent turns of programs that can be in time.
	firstTurnPriority = 2
	// maxKindSteps is the number of priorities of kinds that engines tell apart.
	maxKindSteps = 2
	// timeStep is the time left to a program for which its turns lose one step of priority, up to
	// maxTimeSteps: of two programs, the one that must end sooner goes first.
	timeStep     = 800 * time.Millisecond
	maxTimeSteps = 2
)

// TurnPriority returns the engine priority of a turn of a program, 0 to 9; 0 goes first. Kind is
// the priority of the route or account, and left the time until the program should be finished.
func TurnPriority(kind int, left time.Duration) int {
	if left <= 0 {
		return lateTurnPriority
	}
	return firstTurnPriority + min(max(kind, 0), maxKindSteps) + min(int(left/timeStep), maxTimeSteps)
}
