package server

import (
	"bytes"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/internal/settings"
)

// settingsPollInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// memoryLimitShare is the share of the memory limit that is set as the Go runtime's limit.
// The remainder is for memory that the runtime does not count.
const memoryLimitShare = 0.8

// limitMemory sets the runtime's soft memory limit, near which it collects garbage more
// often, from a limit in MiB; 0 sets none.
func limitMemory(mib int64) {
	if mib > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(mib<<20)))
	}
}

// ReloadFrom makes the server apply later changes of its settings from source; file is the
// content of the settings file from which the current ones were read.
func (s *Server) ReloadFrom(source settings.Source, file []byte) {
	s.source = source
	s.file = file
}

// watchSettings reloads the settings on SIGHUP and whenever the settings file has changed,
// until the server ends.
func (s *Server) watchSettings() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case <-signals:
			s.reload()
		case <-ticker.C:
			if data := s.source.FileContents(); data != nil && !bytes.Equal(data, s.file) {
				s.reload()
			}
		}
	}
}

// reload reads the settings and applies them. Invalid settings are logged and change
// nothing.
func (s *Server) reload() {
	if s.source.Given == nil {
		return
	}
	set, file, faults := s.source.Read()
	s.file = file
	if len(faults) > 0 {
		for _, f := range faults {
			s.log.Info(logevent.SettingsRefused.Name(), "event", int(logevent.SettingsRefused), "detail", f.Error())
		}
		return
	}
	s.level.Set(set.LogLevel)
	limitMemory(set.MemoryLimit)
	s.shell.ChangeOptions(instance.OptionsChanged{Options: set.Options(), Seeds: set.Seeds})
	s.log.Info(logevent.SettingsReloaded.Name(), "event", int(logevent.SettingsReloaded), "settings", set.String())
}
