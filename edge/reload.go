package edge

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/settings"
)

// settingsEvery is the time between two looks at the settings file, which may
// change without a signal.
const settingsEvery = time.Second

// Source is where an instance reads its settings again.
type Source struct {
	// File is the settings file, and Data what it held at the start.
	File string
	Data []byte
	// Changed gets a value for each signal that the file has changed.
	Changed <-chan os.Signal
}

// Follow takes changed settings into force until ctx is done. Settings that
// cannot be read are logged and left out; those in force stay.
func (n *Instance) Follow(ctx context.Context, src Source) {
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	have := src.Data
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-src.Changed:
			signalled = true
		case <-t.C:
		}
		data, err := os.ReadFile(src.File)
		if err != nil {
			n.log.Warn("settings not read again", zap.Error(err))
			continue
		}
		if bytes.Equal(data, have) {
			if signalled {
				n.log.Info("settings unchanged")
			}
			continue
		}
		have = data
		cfg, err := settings.ParseSite(src.File, data)
		if err != nil {
			n.log.Error("changed settings refused", zap.Error(err))
			continue
		}
		n.reload(cfg)
	}
}

// reload puts settings in force. Names and addresses stay those of the start.
func (n *Instance) reload(cfg settings.Site) {
	old := *n.cfg.Load()
	if cfg.Name() != old.Name() || cfg.CallerAddress() != old.CallerAddress() || cfg.PeerAddress() != old.PeerAddress() ||
		cfg.OperatorAddress() != old.OperatorAddress() || cfg.Store() != old.Store() {
		n.log.Warn("changed names and addresses take effect at the next start")
	}
	n.cfg.Store(&cfg)
	n.beliefs.rebound()
	n.log.Info("settings reloaded")
}

// rebound starts the budgets of repeats anew by the bounds in force.
func (b *beliefs) rebound() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.repeats)
}
