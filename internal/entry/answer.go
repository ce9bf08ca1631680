package entry

import (
	"net/http"

	"github.com/birchdrift/birchdrift/internal/service"
)

// A callerAnswer is the answer to one caller. It knows what of it was written, over all attempts
// of the call, and whether that is all.
type callerAnswer struct {
	w     http.ResponseWriter
	begun bool // status and headers were written
	whole bool // all of the answer was written
}

// begin writes the status and the end-to-end headers of a replica's answer. An answer that has begun
// keeps those that it has.
func (a *callerAnswer) begin(header http.Header, status int) {
	if a.begun {
		return
	}
	a.begun = true
	out := a.w.Header()
	for name, values := range service.EndToEndHeaders(header) {
		out[name] = values
	}
	a.w.WriteHeader(status)
}

// write writes a part of the answer's body. It fails if the caller has disconnected.
func (a *callerAnswer) write(data []byte) error {
	_, err := a.w.Write(data)
	return err
}

// flush sends what was written. If the caller has disconnected, the next write fails.
func (a *callerAnswer) flush() { _ = http.NewResponseController(a.w).Flush() }

// refuse writes a whole answer that is not a replica's.
func (a *callerAnswer) refuse(status int, body ErrorBody) {
	a.begun = true
	WriteJSON(a.w, status, body)
	a.end()
}

// end declares that the answer is whole.
func (a *callerAnswer) end() { a.whole = true }

// close aborts the connection of an answer that is not whole: if the handler returned, the server would
// end the answer as if it were, and one that has not begun as an empty success.
func (a *callerAnswer) close() {
	if !a.whole {
		panic(http.ErrAbortHandler)
	}
}
