package main

import (
	"errors"

	"falldeal/internal/config"
	"falldeal/internal/gossip"
	"falldeal/internal/operators"

	"github.com/sirupsen/logrus"
)

// errFleetRemoved reports an operators' file without a fleet table while the process is a member of a fleet.
var errFleetRemoved = errors.New("fleet: joining or leaving a fleet requires a restart")

// reload applies the seeds and keys of the operators' file, and the digest of the configuration. Other settings
// require a restart. An invalid file is logged and changes nothing.
func (m *member) reload() {
	file, err := operators.Load(m.opts.operatorsPath)
	if err == nil && file.Fleet == nil {
		err = errFleetRemoved
	}
	if err != nil {
		m.log.WithError(err).Error("operators' file rejected, keeping current settings")
		return
	}
	digest, err := config.Digest(m.opts.configPath)
	if err != nil {
		return // the server reads the same file next and logs the error
	}
	m.fleet.Reload(gossip.ReloadableConfig{Seeds: file.Fleet.Seeds, Keys: file.Fleet.Keys, Digest: digest})
	m.log.WithFields(logrus.Fields{"seeds": len(file.Fleet.Seeds), "keys": len(file.Fleet.Keys)}).
		Info("seeds and encryption keys reloaded, other settings require a restart")
}
