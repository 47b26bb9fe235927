package eelgrassbeam

// ConfigurationID identifies a stored configuration by its revision and by the change that created it. A configuration
// that is stored again after the store was restored has another revision and the same change.
type ConfigurationID struct {
	Revision Revision `json:"revision"`
	Change   ChangeID `json:"change,omitempty"`
}

// ID returns the identity of the configuration; its revision is zero before the configuration is stored.
func (c *Configuration) ID() ConfigurationID {
	return ConfigurationID{Revision: c.Revision(), Change: c.Change.ID}
}

// Includes reports whether the configuration has the identity or descends from one that has it, as far as it shows: in
// one era a store's versions follow each other; those of different eras do only if the recent changes say so.
func (c *Configuration) Includes(id ConfigurationID) bool {
	if c.Version == 0 || id.Revision == 0 {
		return false
	}
	if c.Era == id.Revision.Era() {
		return c.Revision() >= id.Revision
	}
	return id.Change != "" && c.IncludesChange(id.Change)
}

// MaySupersede reports whether the configuration supersedes the one with the identity, as far as its own recent changes
// show. That one may turn out to descend from it.
func (c *Configuration) MaySupersede(id ConfigurationID) bool {
	switch {
	case c.Version == 0 || c.Revision() == id.Revision:
		return false
	case c.Includes(id) && c.Change.ID != id.Change:
		return true
	default:
		return c.Revision() > id.Revision
	}
}

// Supersedes reports whether the configuration replaces the other one. One that descends from the other does, since a
// restored store holds an older copy under a revision of a later era. Otherwise the higher revision does: the store's
// latest change if neither descends from the other, and the copy stored last if one change created both.
func (c *Configuration) Supersedes(other *Configuration) bool {
	isAncestor := other.Includes(c.ID()) && other.Change.ID != c.Change.ID
	return !isAncestor && c.MaySupersede(other.ID())
}

// ChangesMissingFrom returns the IDs of the changes in the history of the configuration that the other one lacks, newest
// first. It goes back to the latest change that both have.
func (c *Configuration) ChangesMissingFrom(other *Configuration) []ChangeID {
	var missing []ChangeID
	for _, change := range append([]Change{c.Change}, c.RecentChanges...) {
		if other.IncludesChange(change.ID) {
			break
		}
		missing = append(missing, change.ID)
	}
	return missing
}
