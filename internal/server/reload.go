package server

import (
	"slices"

	"falldeal/admission"
	"falldeal/internal/config"

	"github.com/sirupsen/logrus"
)

// Reload takes over the peers' addresses and the settings of a new configuration. err says why there is none, and then
// everything stays as it is. Runs go on either way. It may be called from any goroutine.
func (s *Server) Reload(cfg *config.Config, err error) { s.inbox.put(&configurationLoaded{cfg, err}) }

// configurationLoaded is a configuration that was read, or err.
type configurationLoaded struct {
	config *config.Config
	err    error
}

func (e *configurationLoaded) handle(server *Server) {
	err := e.err
	if err == nil {
		err = server.applyConfig(e.config)
	}
	if err != nil {
		server.stats.ReloadsFailed++
		server.log.WithError(err).Error("configuration not taken over; the one in force stays")
		return
	}
	server.stats.Reloads++
	server.log.WithFields(logrus.Fields{
		"agent":    e.config.Agent,
		"store":    e.config.Store,
		"announce": e.config.Announce,
		"classes":  e.config.Classes,
	}).Info("addresses and settings taken over; other keys count from the next start")
	server.agent.SetAddress(e.config.Agent)
	server.store.SetAddress(e.config.Store)
	server.announcer.SetAddress(e.config.Announce)
}

// applyConfig takes over new settings.
func (s *Server) applyConfig(loaded *config.Config) error {
	settings := loaded.Settings
	if s.drain.started() {
		// The drain began under the grace period in force, which may only become shorter.
		settings.DrainGrace = min(settings.DrainGrace, s.config.Settings.DrainGrace)
	}
	current := s.config.Settings.Classes
	classes, names := mergeClasses(current, loaded.Settings.Classes, s.config.Classes, loaded.Classes)
	settings.Classes = classes
	if s.admission.started() {
		if err := s.admission.controller.Reconfigure(settings); err != nil {
			return err
		}
	}
	merged := *s.config.Config
	merged.Settings, merged.Classes = settings, names
	merged.Tenants, merged.Gauges = loaded.Tenants, loaded.Gauges
	merged.ReplacedStopTimeout = loaded.ReplacedStopTimeout
	s.config.Config = &merged
	s.agent.SetGauges(loaded.Gauges)
	s.config.indexTenants()
	s.rebaseQuota()
	s.config.raiseMaxTimeout()
	s.updateClasses()
	return nil
}

// updateClasses accepts requests of new classes, and rejects those of removed ones later: front ends learn of it late,
// and may retry what they have begun.
func (s *Server) updateClasses() {
	for i, class := range s.config.Settings.Classes {
		name := s.config.Classes[i]
		if !class.Removed {
			s.config.addClass(i)
			s.stats.Name(name)
		} else if s.config.classes[name] == i {
			s.deadlines.Add(s.clock.now+s.config.maxArrivalAge(), func() { s.config.removeClass(i) })
		}
	}
}

// mergeClasses gives each class of a new configuration the index that it has, or one behind the others. Active requests
// refer to indices, so those of classes that are gone stay, marked as removed, and so does that of a class whose
// idempotency has changed.
func mergeClasses(current, loaded []admission.Class, currentNames, loadedNames []string) ([]admission.Class, []string) {
	classes, names := slices.Clone(current), slices.Clone(currentNames)
	for i := range classes {
		classes[i].Removed = true
	}
	for i, class := range loaded {
		at := -1
		for j, name := range names {
			if name == loadedNames[i] && classes[j].Idempotency == class.Idempotency {
				at = j
			}
		}
		if at < 0 {
			classes, names = append(classes, class), append(names, loadedNames[i])
		} else {
			classes[at] = class
		}
	}
	return classes, names
}
