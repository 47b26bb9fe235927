package eelgrassbeam

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Change tells who made a configuration version, when and under which id.
type Change struct {
	ID     ChangeID  `json:"id,omitempty"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Note   string    `json:"note,omitempty"`
}

// Configuration is one immutable version of the fleet-wide settings. Defaults
// and exceptions share one object, so that checks across both hold at every
// version.
type Configuration struct {
	// Version is the platform object's version; zero before it is stored.
	Version    uint64      `json:"version"`
	Change     Change      `json:"change"`
	Defaults   Defaults    `json:"defaults"`
	Exceptions []Exception `json:"exceptions"`
	// RecentChanges are the changes before Change, newest first and without notes, at most MaxRecentChanges.
	RecentChanges []Change `json:"recent_changes,omitempty"`
}

// MaxRecentChanges bounds Configuration.RecentChanges.
const MaxRecentChanges = 64

// ConfigurationSource returns the configuration in force; false before there is one.
type ConfigurationSource interface {
	Configuration() (*Configuration, bool)
}

// WithVersion returns a copy under the version.
func (c Configuration) WithVersion(version uint64) Configuration {
	c.Version = version
	return c
}

// WithChange returns a copy made by the change.
func (c Configuration) WithChange(change Change) Configuration {
	c.Change = change
	return c
}

// WithDefaults returns a copy with other defaults.
func (c Configuration) WithDefaults(defaults Defaults) Configuration {
	c.Defaults = defaults
	return c
}

// WithExceptions returns a copy with other exceptions.
func (c Configuration) WithExceptions(exceptions []Exception) Configuration {
	c.Exceptions = exceptions
	return c
}

// WithRecentChanges returns a copy with other recent changes.
func (c Configuration) WithRecentChanges(changes []Change) Configuration {
	c.RecentChanges = changes
	return c
}

// Includes tells whether the change made this version or one of those before it that are still listed.
func (c Configuration) Includes(id ChangeID) bool {
	return c.Change.ID == id || slices.ContainsFunc(c.RecentChanges, func(change Change) bool { return change.ID == id })
}

// Validate checks the whole set, across defaults and exceptions.
func (c Configuration) Validate() error {
	faults := []error{c.Defaults.Validate()}
	if len(c.RecentChanges) > MaxRecentChanges {
		faults = append(faults, fmt.Errorf("%w: %d recent changes: want at most %d", ErrInvalid, len(c.RecentChanges), MaxRecentChanges))
	}
	seen := make(map[string]bool, len(c.Exceptions))
	for _, exception := range c.Exceptions {
		faults = append(faults, exception.Validate())
		if seen[exception.ID] {
			faults = append(faults, fmt.Errorf("%w: exception id %q stands twice", ErrInvalid, exception.ID))
		}
		seen[exception.ID] = true
		faults = append(faults, c.checkTarget(exception))
	}
	return errors.Join(faults...)
}

// UnmarshalJSON decodes and checks the whole set.
func (c *Configuration) UnmarshalJSON(data []byte) error {
	type plain Configuration
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("%w: configuration: %w", ErrInvalid, err)
	}
	if err := Configuration(decoded).Validate(); err != nil {
		return err
	}
	*c = Configuration(decoded)
	return nil
}

// Exception returns the exception for the target and setting that is in force at the given time.
func (c *Configuration) Exception(setting Setting, kind TargetKind, target string, now time.Time) (Exception, bool) {
	for _, exception := range c.Exceptions {
		if exception.Setting == setting && exception.TargetKind == kind && exception.Target == target && exception.InForce(now) {
			return exception, true
		}
	}
	return Exception{}, false
}

// IsUpstreamDrained tells whether the upstream, its zone or its region is drained.
func (c *Configuration) IsUpstreamDrained(u Upstream, now time.Time) bool {
	return c.isDrained(TargetUpstream, string(u.ID), now) || c.isPlaceDrained(u.Zone, u.Region, now)
}

// IsEntryDrained tells whether the entry, its zone or its region is drained.
func (c *Configuration) IsEntryDrained(e Entry, now time.Time) bool {
	return c.isDrained(TargetEntry, string(e.ID), now) || c.isPlaceDrained(e.Zone, e.Region, now)
}

// IsSiteDrained tells whether the site's zone or region is drained.
func (c *Configuration) IsSiteDrained(s LocatedSite, now time.Time) bool {
	return c.isPlaceDrained(s.Zone, s.Region, now)
}

func (c *Configuration) isPlaceDrained(zone ZoneID, region RegionID, now time.Time) bool {
	return c.isDrained(TargetZone, string(zone), now) || c.isDrained(TargetRegion, string(region), now)
}

func (c *Configuration) isDrained(kind TargetKind, target string, now time.Time) bool {
	_, ok := c.Exception(SettingDrain, kind, target, now)
	return ok
}

func (c Configuration) checkTarget(exception Exception) error {
	if exception.TargetKind != TargetService {
		return nil
	}
	if _, ok := c.Defaults.Service(ServiceName(exception.Target)); !ok {
		return fmt.Errorf("%w: exception %q names unknown service %q", ErrInvalid, exception.ID, exception.Target)
	}
	return nil
}
