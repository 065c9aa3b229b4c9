package entry

import (
	"net/http"
	"strings"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Headers that identify a program, and the idempotency key.
const (
	headerProgram        = "Cowslip-Program"
	headerParent         = "Cowslip-Parent"
	headerProgramEnd     = "Cowslip-Program-End"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits of the values in these headers.
const (
	maxProgramIDLength      = 128
	maxDepth                = 64
	maxIdempotencyKeyLength = 255
)

// programHeaders is the program that a request's headers identify.
type programHeaders struct {
	key   program.Key
	depth int
	end   bool
}

// named reports whether the request belongs to a program.
func (p programHeaders) named() bool { return p.key.Program != "" }

// validID reports whether id consists of 1 to 128 letters, digits, '-', '_', '.' or
// ':'.
func validID(id string) bool {
	if id == "" || len(id) > maxProgramIDLength {
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

// singleHeader returns the value of a header that may occur at most once, and whether
// it is present.
func singleHeader(header http.Header, name string) (string, bool, *structs.Problem) {
	values := header.Values(name)
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", false, newProblem(http.StatusBadRequest, "header-repeated", "header "+name+" is given more than once")
}

// readProgram reads the headers that identify a program.
func readProgram(header http.Header, account structs.AccountID) (programHeaders, *structs.Problem) {
	id, given, problem := singleHeader(header, headerProgram)
	if problem != nil {
		return programHeaders{}, problem
	}
	parent, hasParent, problem := singleHeader(header, headerParent)
	if problem != nil {
		return programHeaders{}, problem
	}
	end, hasEnd, problem := singleHeader(header, headerProgramEnd)
	if problem != nil {
		return programHeaders{}, problem
	}
	if !given {
		if hasParent || hasEnd {
			return programHeaders{}, newProblem(http.StatusBadRequest, "program-missing", headerParent+" and "+headerProgramEnd+" need "+headerProgram)
		}
		return programHeaders{}, nil
	}
	if !validID(id) {
		return programHeaders{}, newProblem(http.StatusBadRequest, "program-invalid",
			headerProgram+" must have 1 to 128 characters out of letters, digits, '-', '_', '.' and ':'")
	}
	if hasEnd && end != "true" && end != "false" {
		return programHeaders{}, newProblem(http.StatusBadRequest, "program-invalid", headerProgramEnd+` must be "true" or "false"`)
	}
	headers := programHeaders{key: program.Key{Account: account, Root: structs.ProgramID(id), Program: structs.ProgramID(id)}, depth: 1, end: end == "true"}
	if hasParent {
		problem = headers.addParent(parent)
	}
	return headers, problem
}

// addParent sets the root and the depth from the path of parent programs.
func (p *programHeaders) addParent(path string) *structs.Problem {
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
	p.key.Root = structs.ProgramID(ids[0])
	p.depth = len(ids) + 1
	return nil
}

// readIdempotencyKey returns the Idempotency-Key header, or an empty string if it is
// absent.
func readIdempotencyKey(header http.Header) (string, *structs.Problem) {
	key, given, problem := singleHeader(header, headerIdempotencyKey)
	if problem != nil || !given {
		return "", problem
	}
	if !isVisibleASCII(key, maxIdempotencyKeyLength) {
		return "", newProblem(http.StatusBadRequest, "idempotency-key-invalid",
			headerIdempotencyKey+" must have 1 to 255 visible ASCII characters")
	}
	return key, nil
}
