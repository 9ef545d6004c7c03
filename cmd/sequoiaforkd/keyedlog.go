package main

import (
	"os"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/settings"
	"sequoiafork/platform"
)

// settingsPollInterval is how often the modification time of the settings file is checked,
// since the file may change without a signal.
const settingsPollInterval = time.Second

// serveKeyedLog runs the daemon on the users' platform, settings.PlatformKindKeyedLog, until
// SIGTERM or SIGINT.
func serveKeyedLog(cmd settings.CommandLine, sig signals, logger *zap.Logger) error {
	r := &reloader{
		path:    cmd.Path,
		logger:  logger,
		changed: make(chan settings.Settings, 1),
	}
	go r.run(sig.reload)
	return platform.Run(sig.stopContext(logger), platform.Config{
		Settings: cmd.Settings,
		Logger:   logger,
		Reload:   r.changed,
		Dump:     sig.dump,
		DumpTo:   os.Stderr,
	})
}

// reloader reads the settings file again when it changes or on SIGHUP. A file with errors
// is rejected as a whole, and the previous settings stay in effect.
type reloader struct {
	path         string
	logger       *zap.Logger
	changed      chan settings.Settings
	lastModified time.Time
}

// run reloads until the process exits. It begins with a reload, since the file may have changed after it was read at
// the start.
func (r *reloader) run(hup <-chan os.Signal) {
	r.checkModified()
	r.reload()
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hup:
			r.reload()
		case <-ticker.C:
			if r.checkModified() {
				r.reload()
			}
		}
	}
}

// checkModified reports whether the modification time of the file differs from that of the
// previous call, and records it.
func (r *reloader) checkModified() bool {
	info, err := os.Stat(r.path)
	if err != nil || info.ModTime().Equal(r.lastModified) {
		return false
	}
	r.lastModified = info.ModTime()
	return true
}

func (r *reloader) reload() {
	s, err := settings.Load(r.path, nil, settings.EnvPrefix)
	if err != nil {
		r.logger.Error("settings rejected, keeping the previous ones", zap.String("path", r.path), zap.Error(err))
		return
	}
	r.logger.Info("settings reloaded", zap.String("path", r.path), zap.Strings("seeds", s.Peers.Seeds))
	r.replace(s)
}

// replace delivers settings in place of earlier ones that were not received yet. Only the reloader
// sends, so the second send never blocks.
func (r *reloader) replace(s settings.Settings) {
	select {
	case <-r.changed:
	default:
	}
	r.changed <- s
}
