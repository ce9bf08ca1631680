package main

import (
	"encoding/json"
	"fmt"
	"io"
	"syscall"
)

// plannedStop stops the entry instances with SIGTERM, as a platform would.
func (d *demo) plannedStop() error {
	for _, in := range d.instances {
		if err := in.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, in := range d.instances {
		status, err := in.Wait()
		if err != nil {
			return err
		}
		fmt.Printf("demo: %s stopped with status %d\n", in.Name, status)
		if status != 0 {
			return fmt.Errorf("%s: status %d\n%s", in.Name, status, in.Log())
		}
	}
	return nil
}

func writeJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
