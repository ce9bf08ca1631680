package load

import (
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/saturation"
)

// sampleAfter returns the load of the process while work runs.
func sampleAfter(t *testing.T, work func()) saturation.Sample {
	t.Helper()
	m := NewMonitor(&Traffic{})
	m.Sample(time.Now())
	time.Sleep(SampleInterval)
	m.Sample(time.Now())
	end := time.Now().Add(5 * time.Second)
	for time.Now().Before(end) {
		work()
		if s, ok := m.Sample(time.Now()); ok {
			return s
		}
	}
	t.Fatal("no sample")
	return saturation.Sample{}
}

// Guards against a measure that does not rise with the work that waits for the processor, or that
// rises while the process waits for others.
func TestRunDelay(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	busy := sampleAfter(t, func() {
		var done sync.WaitGroup
		for range 60 {
			done.Go(func() {
				for range 4 {
					for end := time.Now().Add(time.Millisecond); time.Now().Before(end); {
					}
					runtime.Gosched()
				}
			})
		}
		done.Wait()
	})
	waiting := sampleAfter(t, func() {
		var done sync.WaitGroup
		for range 60 {
			done.Go(func() { time.Sleep(5 * time.Millisecond) })
		}
		done.Wait()
	})
	t.Logf("run delay %v with 60 busy goroutines, %v with 60 that wait", busy.RunDelay, waiting.RunDelay)
	is.True(busy.RunDelay > saturation.MaxRunDelay)
	is.True(waiting.RunDelay < saturation.MaxRunDelay)
}

// Guards against bytes that the link carries and nobody counts: headers and acknowledgments make up
// most of an event of a stream.
func TestTraffic(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var traffic Traffic
	counted := traffic.Listener(l)
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer client.Close()
	conn, err := counted.Accept()
	is.NoErr(err)
	defer conn.Close()
	_, err = client.Write(make([]byte, 100))
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 100))
	is.NoErr(err)
	is.Equal(traffic.Received(), int64(100+segmentOverhead))
	is.Equal(traffic.Sent(), int64(segmentOverhead))
	_, err = conn.Write(make([]byte, 3000)) // three segments
	is.NoErr(err)
	is.Equal(traffic.Sent(), int64(segmentOverhead+3000+3*segmentOverhead))
	is.Equal(traffic.Received(), int64(100+segmentOverhead+3*segmentOverhead))
}

// Guards against an instance that is partitioned from its replicas and takes its link for saturated, so
// that it refuses callers: attempts to connect that fail say nothing of the link.
func TestFailedConnectsAreNotCounted(t *testing.T) {
	is := is.New(t)
	var traffic Traffic
	dial := traffic.Dial(func(context.Context, string, string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded })
	_, err := dial(t.Context(), "tcp", "")
	is.True(err != nil)
	n, _ := traffic.takeConnects()
	is.Equal(n, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	conn, err := traffic.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	n, took := traffic.takeConnects()
	is.Equal(n, 1)
	is.True(took > 0)
}
