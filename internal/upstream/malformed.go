package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// minStatus and maxStatus are the least and the largest status of a final answer (RFC 9110, 15).
	minStatus, maxStatus = 200, 599
	// maxNameInError is the length in bytes to which an error truncates the name of a field.
	maxNameInError = 64
)

// A MalformedError means that what an upstream sent is no answer in the form of HTTP, so that neither its
// head nor its body can be relied on.
type MalformedError struct {
	Part   string // of the answer: "status" or "name of a field"
	Detail string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the upstream's answer is malformed: %s %s", e.Part, e.Detail)
}

// checkHead returns a MalformedError if the status or a field of a final answer's head is not in the form of
// HTTP. net/http accepts any three digits as a status, and names that contain blanks.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &MalformedError{Part: "status", Detail: fmt.Sprintf("%03d", resp.StatusCode)}
	}
	return checkNames(resp.Header)
}

// checkNames returns a MalformedError if the name of a field is not a token (RFC 9110, 5.6.2).
func checkNames(fields map[string][]string) error {
	for name := range fields {
		if name == "" || strings.ContainsFunc(name, isNoTokenChar) {
			return &MalformedError{Part: "name of a field", Detail: fmt.Sprintf("%.*q", maxNameInError, name)}
		}
	}
	return nil
}

func isNoTokenChar(c rune) bool {
	letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
	digit := '0' <= c && c <= '9'
	return !letter && !digit && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// A checkedBody is the body of an answer whose trailer is checked.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.resp.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
