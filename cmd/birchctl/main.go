// Command birchctl is the operators' tool: it validates, diffs, applies and
// prints the configuration, and shows and explains the state of instances.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/internal/control"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	err := control.Command().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "birchctl:", err)
	var codeErr *code.Error
	if !errors.As(err, &codeErr) || codeErr.Code == code.BadUsage || codeErr.Code == code.BadSetting {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}
