package entry

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"cowslipgw/internal/structs"
)

// maxBodyPreallocation bounds the memory in bytes that is allocated according to a
// request's Content-Length before the body arrives.
const maxBodyPreallocation = 64 << 10

// readBody reads a whole request body within the size limit and the read timeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *structs.Problem) {
	limit := s.options.Limits.MaxBody
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.options.Limits.BodyTimeout)); err != nil {
		return nil, newProblem(http.StatusInternalServerError, "internal", "the body cannot be read")
	}
	var read bytes.Buffer
	read.Grow(int(min(max(r.ContentLength, 0), maxBodyPreallocation)) + bytes.MinRead)
	_, err := read.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	body := read.Bytes()
	if problem := bodyProblem(err, limit); problem != nil {
		return nil, problem
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, newProblem(http.StatusInternalServerError, "internal", "the body cannot be read")
	}
	return body, nil
}

// bodyTooLarge returns the problem for a body over the size limit.
func bodyTooLarge(limit int64) *structs.Problem {
	return newProblem(http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("the body exceeds %d bytes", limit))
}

// bodyProblem returns the problem for an error that occurred while reading a body, or
// nil if err is nil.
func bodyProblem(err error, limit int64) *structs.Problem {
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLong):
		return bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newProblem(http.StatusRequestTimeout, "body-timeout", "the body did not arrive in time")
	}
	return newProblem(http.StatusBadRequest, "body-incomplete", "the body did not arrive whole")
}
