package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/upstream"
)

// A brokenWriter is the answer to an instance whose connection is broken.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A brokenBody is the body of an answer whose connection is broken.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Guards against replicas that are taken for crashed because the instance for which an attempt was
// relayed has gone: both connections fail with the same errors.
func TestABrokenAnswerIsOfTheReplicaOnlyIfItsConnectionBroke(t *testing.T) {
	is := is.New(t)
	answer := func(body io.Reader) *http.Response {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}
	}
	err := passOn(brokenWriter{httptest.NewRecorder()}, answer(strings.NewReader("answer")))
	is.True(err != nil)
	is.True(!upstream.Severed(err))
	err = passOn(httptest.NewRecorder(), answer(brokenBody{}))
	is.True(upstream.Severed(err))
}
