package director

import (
	"os"
	"slices"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/config"
)

// This file reloads the configuration when the process receives a reload signal.

// watchReloads reads the configuration again at each signal until the director stops.
func (d *Director) watchReloads(stop <-chan struct{}, reloads <-chan os.Signal, read func() (*config.Config, error)) {
	for {
		select {
		case <-stop:
			return
		case <-reloads:
			d.reload(read())
		}
	}
}

// reload applies the address of the journal service from a reloaded configuration. All other settings keep their values from
// the start, and open connections stay open. An invalid configuration, or one of another director, changes nothing.
func (d *Director) reload(conf *config.Config, err error) {
	if err != nil {
		d.log.WithError(err).Error("reload: invalid configuration, keeping the current one")
		return
	}
	if conf.FileIdentity != d.config.FileIdentity || !slices.Equal(conf.ClassNames, d.config.ClassNames) {
		d.log.WithFields(logrus.Fields{"is": conf.FileIdentity, "was": d.config.FileIdentity}).
			Error("reload: name, listen or vhosts belong to another director, keeping the current configuration")
		return
	}
	d.log.WithField("journal", conf.DiscoveryAddr).Info("reload")
	select {
	case <-d.journalMoves: // drops an earlier address that the watch has not received yet
	default:
	}
	d.journalMoves <- conf.DiscoveryAddr
}
