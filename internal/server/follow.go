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

// settingsPollInterval spaces the looks at the settings file, which may change without a
// signal.
const settingsPollInterval = 2 * time.Second

// memoryLimitShare is the part of the memory limit that the runtime aims at; the rest
// is for what it does not count.
const memoryLimitShare = 0.8

// limitMemory has the runtime collect more eagerly near the limit, in MiB.
func limitMemory(mib int64) {
	if mib > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(mib<<20)))
	}
}

// ReloadFrom has the server take over changes of its settings, which were read from
// source and stood in file.
func (s *Server) ReloadFrom(source settings.Source, file []byte) {
	s.source = source
	s.file = file
}

// watchSettings takes over changed settings until the server ends: at SIGHUP, and when
// the file is seen to have changed.
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

// reload reads the settings again. Wrong ones change nothing.
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
