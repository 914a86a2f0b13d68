package server

import (
	"slices"

	"falldeal/admission"
	"falldeal/internal/config"

	"github.com/sirupsen/logrus"
)

// Reload applies the settings of a new configuration, and its addresses of the agent, the store and the announce service,
// without interrupting runs. It may be called from any goroutine.
func (s *Server) Reload(cfg *config.Config) { s.inbox.put(&configurationLoaded{cfg}) }

// ReloadFailed reports why a new configuration could not be read. The current one stays. It may be called from any
// goroutine.
func (s *Server) ReloadFailed(err error) { s.inbox.put(&configurationFailed{err}) }

// configurationLoaded is a configuration that was read and is to be applied.
type configurationLoaded struct {
	config *config.Config
}

func (e *configurationLoaded) handle(server *Server) {
	if err := server.applyConfig(e.config); err != nil {
		server.logReloadFailure(err)
		return
	}
	server.stats.Reloads++
	server.log.WithFields(logrus.Fields{
		"agent":    e.config.Agent,
		"store":    e.config.Store,
		"announce": e.config.Announce,
		"classes":  e.config.Classes,
	}).Info("configuration reloaded, other keys apply from the next start")
	server.agent.SetAddress(e.config.Agent)
	server.store.SetAddress(e.config.Store)
	server.announcer.SetAddress(e.config.Announce)
}

// configurationFailed reports a configuration that could not be read.
type configurationFailed struct {
	err error
}

func (e *configurationFailed) handle(server *Server) { server.logReloadFailure(e.err) }

func (s *Server) logReloadFailure(err error) {
	s.stats.ReloadsFailed++
	s.log.WithError(err).Error("configuration reload failed, current configuration stays")
}

// applyConfig applies the settings of a new configuration. On an error, the current configuration is unchanged.
func (s *Server) applyConfig(loaded *config.Config) error {
	settings := loaded.Settings
	if s.drain.started() {
		// The drain started with the current grace period, which may only be shortened.
		settings.DrainGrace = min(settings.DrainGrace, s.config.Settings.DrainGrace)
	}
	current := s.config.Settings.Classes
	classes, names := mergeClasses(current, loaded.Settings.Classes, s.config.Classes, loaded.Classes)
	settings.Classes = classes
	if s.admission.started() {
		if err := s.admission.controller.Reconfigure(settings); err != nil {
			return err //nolint:wrapcheck // the error names the setting
		}
	}
	merged := *s.config.Config
	merged.Settings = settings
	merged.Classes = names
	merged.Tenants = loaded.Tenants
	merged.Gauges = loaded.Gauges
	merged.ReplacedStopTimeout = loaded.ReplacedStopTimeout
	s.config.Config = &merged
	s.agent.SetGauges(loaded.Gauges)
	s.config.indexTenants()
	s.rebaseQuota()
	s.config.raiseMaxTimeout()
	s.updateClasses()
	return nil
}

// updateClasses accepts requests of new classes at once. Requests of removed classes become invalid only after maxArrivalAge:
// front ends learn of the change late, and may retry requests that they have begun.
func (s *Server) updateClasses() {
	for i, class := range s.config.Settings.Classes {
		name := s.config.Classes[i]
		if !class.Removed {
			s.config.addClass(i)
			s.stats.Class(name)
		} else if s.config.classes[name] == i {
			s.deadlines.Add(s.clock.now+s.config.maxArrivalAge(), func() { s.config.removeClass(i) })
		}
	}
}

// mergeClasses gives each class of a new configuration the index that it has in the current one, or else a new index after
// all others. Active requests refer to classes by index, so classes that are gone keep their index, marked as removed. A class
// whose idempotency has changed counts as another class.
func mergeClasses(current, loaded []admission.Class, currentNames, loadedNames []string) ([]admission.Class, []string) {
	classes := slices.Clone(current)
	names := slices.Clone(currentNames)
	for i := range classes {
		classes[i].Removed = true
	}
	for i, class := range loaded {
		index := findClass(classes, names, class, loadedNames[i])
		if index < 0 {
			classes = append(classes, class)
			names = append(names, loadedNames[i])
		} else {
			classes[index] = class
		}
	}
	return classes, names
}

// findClass returns the index of the class with the given name and idempotency, the last one if there are several, or -1.
func findClass(classes []admission.Class, names []string, class admission.Class, className string) int {
	for i := len(names) - 1; i >= 0; i-- {
		if names[i] == className && classes[i].Idempotency == class.Idempotency {
			return i
		}
	}
	return -1
}
