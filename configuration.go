package eelgrassbeam

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Change describes the change that created a configuration version.
type Change struct {
	ID     ChangeID  `json:"id,omitempty"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Note   string    `json:"note,omitempty"`
}

// Configuration is one immutable version of the fleet-wide settings. Defaults and exceptions are stored in one
// object, so that every version is validated across both.
type Configuration struct {
	// Version is the store's counter for the platform object; zero before it is stored. It identifies a configuration
	// within an era only.
	Version uint64 `json:"version"`
	// Era is the store's era in which the configuration was stored, zero for a store that has none.
	Era        uint64      `json:"era,omitempty"`
	Change     Change      `json:"change"`
	Defaults   Defaults    `json:"defaults"`
	Exceptions []Exception `json:"exceptions"`
	// RecentChanges lists up to MaxRecentChanges changes made before Change, newest first and without notes. Writers
	// use it to find out whether a change took effect if the response to its write was lost.
	RecentChanges []Change `json:"recent_changes,omitempty"`
}

// MaxRecentChanges is the maximum length of Configuration.RecentChanges.
const MaxRecentChanges = 64

// ConfigurationSource provides the configuration in force. It returns false until there is one.
type ConfigurationSource interface {
	Configuration() (*Configuration, bool)
}

// WithVersion returns a copy with the given version.
func (c Configuration) WithVersion(version uint64) Configuration {
	c.Version = version
	return c
}

// WithRevision returns a copy with the era and the version of the given revision.
func (c Configuration) WithRevision(revision Revision) Configuration {
	c.Era, c.Version = revision.Era(), revision.Counter()
	return c
}

// Revision returns the revision of the platform object; zero before it is stored.
func (c Configuration) Revision() Revision { return NewRevision(c.Era, c.Version) }

// WithChange returns a copy with the given change.
func (c Configuration) WithChange(change Change) Configuration {
	c.Change = change
	return c
}

// WithDefaults returns a copy with the given defaults.
func (c Configuration) WithDefaults(defaults Defaults) Configuration {
	c.Defaults = defaults
	return c
}

// WithExceptions returns a copy with the given exceptions.
func (c Configuration) WithExceptions(exceptions []Exception) Configuration {
	c.Exceptions = exceptions
	return c
}

// WithRecentChanges returns a copy with the given recent changes.
func (c Configuration) WithRecentChanges(changes []Change) Configuration {
	c.RecentChanges = changes
	return c
}

// IncludesChange reports whether the change created this version or is listed in RecentChanges.
func (c Configuration) IncludesChange(id ChangeID) bool {
	return c.Change.ID == id || slices.ContainsFunc(c.RecentChanges, func(change Change) bool { return change.ID == id })
}

// Validate checks the defaults, the exceptions and the references between them.
func (c Configuration) Validate() error {
	errs := []error{c.Defaults.Validate()}
	if len(c.RecentChanges) > MaxRecentChanges {
		errs = append(errs, fmt.Errorf("%w: %d recent changes: want at most %d", ErrInvalid, len(c.RecentChanges), MaxRecentChanges))
	}
	if c.Era != c.Revision().Era() || c.Version != c.Revision().Counter() {
		errs = append(errs, fmt.Errorf("%w: era %d or version %d is too large", ErrInvalid, c.Era, c.Version))
	}
	seen := make(map[string]bool, len(c.Exceptions))
	for _, exception := range c.Exceptions {
		errs = append(errs, exception.Validate())
		if seen[exception.ID] {
			errs = append(errs, fmt.Errorf("%w: duplicate exception id %q", ErrInvalid, exception.ID))
		}
		seen[exception.ID] = true
		errs = append(errs, c.checkServiceExists(exception))
	}
	return errors.Join(errs...)
}

// UnmarshalJSON decodes and validates the configuration.
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

// Exception returns the exception for the setting and target that is in force at now, or false if there is none.
func (c *Configuration) Exception(setting Setting, kind TargetKind, target string, now time.Time) (Exception, bool) {
	for _, exception := range c.Exceptions {
		if exception.Setting == setting && exception.TargetKind == kind && exception.Target == target && exception.IsActive(now) {
			return exception, true
		}
	}
	return Exception{}, false
}

// IsUpstreamDrained reports whether the upstream, its zone or its region is drained.
func (c *Configuration) IsUpstreamDrained(u Upstream, now time.Time) bool {
	return c.isDrained(TargetUpstream, string(u.ID), now) || c.isLocationDrained(u.Zone, u.Region, now)
}

// IsEntryDrained reports whether the entry, its zone or its region is drained.
func (c *Configuration) IsEntryDrained(e Entry, now time.Time) bool {
	return c.isDrained(TargetEntry, string(e.ID), now) || c.isLocationDrained(e.Zone, e.Region, now)
}

// IsSiteDrained reports whether the site's zone or region is drained.
func (c *Configuration) IsSiteDrained(s LocatedSite, now time.Time) bool {
	return c.isLocationDrained(s.Zone, s.Region, now)
}

func (c *Configuration) isLocationDrained(zone ZoneID, region RegionID, now time.Time) bool {
	return c.isDrained(TargetZone, string(zone), now) || c.isDrained(TargetRegion, string(region), now)
}

func (c *Configuration) isDrained(kind TargetKind, target string, now time.Time) bool {
	_, ok := c.Exception(SettingDrain, kind, target, now)
	return ok
}

func (c Configuration) checkServiceExists(exception Exception) error {
	if exception.TargetKind != TargetService {
		return nil
	}
	if _, ok := c.Defaults.Service(ServiceName(exception.Target)); !ok {
		return fmt.Errorf("%w: exception %q targets unknown service %q", ErrInvalid, exception.ID, exception.Target)
	}
	return nil
}
