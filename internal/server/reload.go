package server

import (
	"slices"

	"falldeal/admission"
	"falldeal/internal/config"

	"github.com/sirupsen/logrus"
)

// Reload takes over what a new configuration says of the peers' addresses and of the settings; err says why
// there is none, and then all stays as it is. Runs go on either way.
func (s *Server) Reload(c *config.Config, err error) {
	s.post(func() {
		if err == nil {
			err = s.retune(c)
		}
		if err != nil {
			s.stats.ReloadsFailed++
			s.log.WithError(err).Error("configuration not taken over; the one in force stays")
			return
		}
		s.stats.Reloads++
		s.log.WithFields(logrus.Fields{"agent": c.Agent, "store": c.Store, "announce": c.Announce, "classes": c.Classes}).
			Info("addresses and settings taken over; other keys count from the next start")
		s.agent.SetAddress(c.Agent)
		s.store.SetAddress(c.Store)
		s.announcer.SetAddress(c.Announce)
	})
}

// retune takes over new settings.
func (s *Server) retune(c *config.Config) error {
	next, names := c.Settings, slices.Clone(s.cfg.Classes)
	if s.drain.on {
		next.DrainGrace = min(next.DrainGrace, s.cfg.Settings.DrainGrace) // the notice was given under that one
	}
	next.Classes, names = placeClasses(s.cfg.Settings.Classes, c.Settings.Classes, names, c.Classes)
	if s.ctl != nil {
		if err := s.ctl.Reconfigure(next); err != nil {
			return err
		}
	}
	cfg := *s.cfg
	cfg.Settings, cfg.Classes, cfg.Tenants, cfg.Gauges, cfg.ReplacedStopTimeout = next, names, c.Tenants, c.Gauges, c.ReplacedStopTimeout
	s.cfg = &cfg
	s.nameTenants()
	s.rebaseShare()
	s.admitWaits()
	for i, k := range next.Classes {
		if !k.Removed {
			s.enlist(i)
		} else if s.classes[names[i]] == i {
			// Front ends learn of it late, and what they have begun they may try again.
			s.deadlines.Add(s.clock.now+s.lateMost(), func() { s.delist(i) })
		}
	}
	return nil
}

// placeClasses gives each class of a new configuration the place that it has, or one behind the others. What
// is in hand goes by places, so those of classes that are gone stay, and so does that of a class which may not
// be repeated any more in the way it was.
func placeClasses(old, fresh []admission.Class, names, freshNames []string) ([]admission.Class, []string) {
	all := slices.Clone(old)
	for i := range all {
		all[i].Removed = true
	}
	for i, k := range fresh {
		at := -1
		for j, name := range names {
			if name == freshNames[i] && all[j].Idempotency == k.Idempotency {
				at = j
			}
		}
		if at < 0 {
			all, names = append(all, k), append(names, freshNames[i])
		} else {
			all[at] = k
		}
	}
	return all, names
}

// enlist has requests of the class at place i taken in.
func (s *Server) enlist(i int) {
	name := s.cfg.Classes[i]
	s.classes[name] = i
	s.stats.Name(name)
}

// delist has them turned down, unless the class has come back.
func (s *Server) delist(i int) {
	if name := s.cfg.Classes[i]; s.cfg.Settings.Classes[i].Removed && s.classes[name] == i {
		delete(s.classes, name)
	}
}
