package fleet

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// printEnv makes the test binary print printedLines lines and exit.
const printEnv = "BIRCHDRIFT_TEST_PRINT"

const printedLines = 100

func TestMain(m *testing.M) {
	if os.Getenv(printEnv) != "" {
		for i := range printedLines {
			fmt.Println("line", i+1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against tests that miss the last lines of a program: its exit was reported before all of its
// output was recorded.
func TestAllOutputIsRecordedBeforeTheExit(t *testing.T) {
	is := is.New(t)
	t.Setenv(printEnv, "1")
	last := fmt.Sprint("line ", printedLines)
	for range 30 {
		p, err := Start("printer", os.Args[0])
		is.NoErr(err)
		_, err = p.AwaitLine(last)
		is.NoErr(err)
		_, err = p.Wait()
		is.NoErr(err)

		p, err = Start("printer", os.Args[0])
		is.NoErr(err)
		_, err = p.Wait()
		is.NoErr(err)
		is.True(strings.HasSuffix(p.Log(), last))
	}
}
