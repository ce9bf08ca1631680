package shell

import (
	"context"

	"github.com/birchdrift/birchdrift/core/instance"
)

// What is carried out through the seams of an environment other than the
// product's own.

// watchPlatform waits for whatever changes in the environment's store and
// posts it as one event for each kind of news.
func (s *Shell) watchPlatform(ctx context.Context, a instance.WatchPlatform) {
	change, err := s.adapters.Store.Watch(ctx, a.Wait)
	if err != nil {
		s.post(instance.WatchReply{Err: err})
		return
	}
	s.metrics.PlatformCall()
	if change.Config != nil {
		s.postConfig(change.Config, instance.PlatformSource)
	}
	if len(change.Listed) > 0 || change.Whole {
		s.post(instance.ListReply{Entries: change.Listed, Version: change.Version, Whole: change.Whole})
	}
	s.post(instance.WatchReply{})
}
