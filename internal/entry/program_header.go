package entry

import (
	"net/http"
	"strings"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Headers that name a program.
const (
	headerProgram    = "Cowslip-Program"
	headerParent     = "Cowslip-Parent"
	headerProgramEnd = "Cowslip-Program-End"
	headerIdempotent = "Idempotency-Key"
)

// Limits of program names.
const (
	maxProgramID  = 128
	maxDepth      = 64
	maxIdempotent = 255
)

// programName is the program that a request names.
type programName struct {
	key   program.Key
	depth int
	end   bool
}

// named says whether the request names a program.
func (n programName) named() bool { return n.key.Program != "" }

// validID says whether an ID has 1 to 128 letters, digits, '-', '_', '.' or ':'.
func validID(id string) bool {
	if id == "" || len(id) > maxProgramID {
		return false
	}
	for i := range len(id) {
		c := id[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("-_.:", rune(c)) {
			return false
		}
	}
	return true
}

// single returns the value of a header that may be given once.
func single(header http.Header, name string) (string, bool, *structs.Problem) {
	values := header.Values(name)
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", false, newProblem(http.StatusBadRequest, "header-repeated", "header "+name+" is given more than once")
}

// readProgram reads the headers that name a program.
func readProgram(header http.Header, account structs.AccountID) (programName, *structs.Problem) {
	id, given, problem := single(header, headerProgram)
	if problem != nil {
		return programName{}, problem
	}
	parent, hasParent, problem := single(header, headerParent)
	if problem != nil {
		return programName{}, problem
	}
	end, hasEnd, problem := single(header, headerProgramEnd)
	if problem != nil {
		return programName{}, problem
	}
	if !given {
		if hasParent || hasEnd {
			return programName{}, newProblem(http.StatusBadRequest, "program-missing", headerParent+" and "+headerProgramEnd+" need "+headerProgram)
		}
		return programName{}, nil
	}
	if !validID(id) {
		return programName{}, newProblem(http.StatusBadRequest, "program-invalid",
			headerProgram+" must have 1 to 128 characters out of letters, digits, '-', '_', '.' and ':'")
	}
	if hasEnd && end != "true" && end != "false" {
		return programName{}, newProblem(http.StatusBadRequest, "program-invalid", headerProgramEnd+` must be "true" or "false"`)
	}
	name := programName{key: program.Key{Account: account, Root: structs.ProgramID(id), Program: structs.ProgramID(id)}, depth: 1, end: end == "true"}
	if hasParent {
		problem = name.addParent(parent)
	}
	return name, problem
}

// addParent sets the root and the depth from the path of the parent.
func (n *programName) addParent(path string) *structs.Problem {
	ids := strings.Split(path, "/")
	if len(ids) >= maxDepth {
		return newProblem(http.StatusBadRequest, "program-invalid", headerParent+" names too many programs")
	}
	for _, id := range ids {
		if !validID(id) {
			return newProblem(http.StatusBadRequest, "program-invalid",
				headerParent+" must hold program IDs from the root to the parent, separated by '/'")
		}
	}
	n.key.Root = structs.ProgramID(ids[0])
	n.depth = len(ids) + 1
	return nil
}

// readIdempotencyKey reads the Idempotency-Key header; empty when absent.
func readIdempotencyKey(header http.Header) (string, *structs.Problem) {
	key, given, problem := single(header, headerIdempotent)
	if problem != nil || !given {
		return "", problem
	}
	if !visible(key, maxIdempotent) {
		return "", newProblem(http.StatusBadRequest, "idempotency-key-invalid",
			headerIdempotent+" must have 1 to 255 visible ASCII characters")
	}
	return key, nil
}
