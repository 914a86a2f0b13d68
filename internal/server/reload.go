package server

import (
	"slices"

	"falldeal/admission"
	"falldeal/internal/config"

	"github.com/sirupsen/logrus"
)

// Reload takes over what a new configuration says of the peers' addresses and of the settings; err says why
// there is none, and then all stays as it is. Runs go on either way.
func (s *Server) Reload(fresh *config.Config, err error) {
	s.post(func() {
		if err == nil {
			err = s.applyConfig(fresh)
		}
		if err != nil {
			s.stats.ReloadsFailed++
			s.log.WithError(err).Error("configuration not taken over; the one in force stays")
			return
		}
		s.stats.Reloads++
		s.log.WithFields(logrus.Fields{"agent": fresh.Agent, "store": fresh.Store, "announce": fresh.Announce, "classes": fresh.Classes}).
			Info("addresses and settings taken over; other keys count from the next start")
		s.agent.SetAddress(fresh.Agent)
		s.store.SetAddress(fresh.Store)
		s.announcer.SetAddress(fresh.Announce)
	})
}

// applyConfig takes over new settings.
func (s *Server) applyConfig(fresh *config.Config) error {
	next, names := fresh.Settings, slices.Clone(s.config.Classes)
	if s.drain.started {
		next.DrainGrace = min(next.DrainGrace, s.config.Settings.DrainGrace) // the notice was given under that one
	}
	next.Classes, names = mergeClasses(s.config.Settings.Classes, fresh.Settings.Classes, names, fresh.Classes)
	if s.controller != nil {
		if err := s.controller.Reconfigure(next); err != nil {
			return err
		}
	}
	cfg := *s.config
	cfg.Settings, cfg.Classes, cfg.Tenants, cfg.Gauges, cfg.ReplacedStopTimeout = next, names, fresh.Tenants, fresh.Gauges, fresh.ReplacedStopTimeout
	s.config = &cfg
	s.indexTenants()
	s.rebaseQuota()
	s.raiseMaxTimeout()
	for i, k := range next.Classes {
		if !k.Removed {
			s.addClass(i)
		} else if s.classes[names[i]] == i {
			// Front ends learn of it late, and what they have begun they may try again.
			s.deadlines.Add(s.clock.now+s.maxArrivalAge(), func() { s.removeClass(i) })
		}
	}
	return nil
}

// mergeClasses gives each class of a new configuration the place that it has, or one behind the others. What
// is in hand goes by places, so those of classes that are gone stay, and so does that of a class which may not
// be repeated any more in the way it was.
func mergeClasses(old, fresh []admission.Class, names, freshNames []string) ([]admission.Class, []string) {
	all := slices.Clone(old)
	for i := range all {
		all[i].Removed = true
	}
	for i, class := range fresh {
		at := -1
		for j, name := range names {
			if name == freshNames[i] && all[j].Idempotency == class.Idempotency {
				at = j
			}
		}
		if at < 0 {
			all, names = append(all, class), append(names, freshNames[i])
		} else {
			all[at] = class
		}
	}
	return all, names
}

// addClass has requests of the class at place i taken in.
func (s *Server) addClass(i int) {
	name := s.config.Classes[i]
	s.classes[name] = i
	s.stats.Name(name)
}

// removeClass has them turned down, unless the class has come back.
func (s *Server) removeClass(i int) {
	if name := s.config.Classes[i]; s.config.Settings.Classes[i].Removed && s.classes[name] == i {
		delete(s.classes, name)
	}
}
