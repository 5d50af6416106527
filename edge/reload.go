package edge

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/settings"
)

// settingsPollInterval is the time between two reads of the settings file, which
// may change without a signal.
const settingsPollInterval = time.Second

// SettingsSource says where changed settings are read and what announces them.
type SettingsSource struct {
	// File is the path of the settings file, and Data its content at the start.
	File string
	Data []byte
	// ReloadSignals receives the signals that ask for the file to be read.
	ReloadSignals <-chan os.Signal
}

// WatchSettings applies changes of the settings until ctx is done. If the changed
// settings cannot be read or are invalid, it logs this and those in force stay.
func (in *Instance) WatchSettings(ctx context.Context, src SettingsSource) {
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
			in.log.Warn("could not read settings file", zap.Error(err))
			continue
		}
		if bytes.Equal(data, current) {
			if signalled {
				in.log.Info("settings unchanged")
			}
			continue
		}
		current = data
		cfg, err := settings.ParseSite(src.File, data)
		if err != nil {
			in.log.Error("changed settings refused", zap.Error(err))
			continue
		}
		in.applySettings(cfg)
	}
}

// applySettings puts settings in force. The names and addresses in use stay those
// of the start.
func (in *Instance) applySettings(cfg settings.Site) {
	old := *in.cfg.Load()
	if cfg.Name() != old.Name() || cfg.CallerAddress() != old.CallerAddress() || cfg.PeerAddress() != old.PeerAddress() ||
		cfg.OperatorAddress() != old.OperatorAddress() || cfg.Store() != old.Store() {
		in.log.Warn("changed names and addresses take effect only after a restart")
	}
	in.cfg.Store(&cfg)
	in.state.updateRetryBudgets()
	in.log.Info("settings reloaded")
}

// updateRetryBudgets applies the bounds in force to the retry budgets.
func (c *clusterState) updateRetryBudgets() {
	bounds := c.instance.cfg.Load().Bounds()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.retryShares {
		s.SetBounds(time.Now(), bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow)
	}
}
