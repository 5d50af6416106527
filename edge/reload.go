package edge

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/settings"
)

// settingsPollInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// SettingsSource is where an instance reads its settings again.
type SettingsSource struct {
	// File is the settings file, and Data what it held at the start.
	File string
	Data []byte
	// ReloadSignals gets a value for each signal that the file has changed.
	ReloadSignals <-chan os.Signal
}

// WatchSettings takes changed settings into force until ctx is done. Settings that
// cannot be read are logged and left out; those in force stay.
func (n *Instance) WatchSettings(ctx context.Context, src SettingsSource) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := src.Data
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-src.ReloadSignals:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(src.File)
		if err != nil {
			n.log.Warn("settings not read again", zap.Error(err))
			continue
		}
		if bytes.Equal(data, current) {
			if signalled {
				n.log.Info("settings unchanged")
			}
			continue
		}
		current = data
		cfg, err := settings.ParseSite(src.File, data)
		if err != nil {
			n.log.Error("changed settings refused", zap.Error(err))
			continue
		}
		n.applySettings(cfg)
	}
}

// applySettings puts settings in force. Names and addresses stay those of the start.
func (n *Instance) applySettings(cfg settings.Site) {
	old := *n.cfg.Load()
	if cfg.Name() != old.Name() || cfg.CallerAddress() != old.CallerAddress() || cfg.PeerAddress() != old.PeerAddress() ||
		cfg.OperatorAddress() != old.OperatorAddress() || cfg.Store() != old.Store() {
		n.log.Warn("changed names and addresses take effect at the next start")
	}
	n.cfg.Store(&cfg)
	n.state.resetRetryBudgets()
	n.log.Info("settings reloaded")
}

// resetRetryBudgets starts the budgets of repeats anew by the bounds in force.
func (c *clusterState) resetRetryBudgets() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.retryShares)
}
