package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Load reads a settings file. Host is nil when there are faults.
func Load(path string) (*Host, []Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{File: path, What: fmt.Sprintf("cannot be read: %s", err)}}
	}
	return Parse(path, data)
}

// Parse reads the text of a settings file. The path names it in faults, and relative
// paths in the text start from its directory.
func Parse(path string, data []byte) (*Host, []Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}, data)
	if err != nil {
		return nil, []Fault{{File: path, What: fmt.Sprintf("is not an INI file: %s", err)}}
	}
	r := &reader{path: path, file: file, host: Default()}
	r.findUnknown()
	r.readKeys()
	r.readCredentialFile()
	r.checkAddresses()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return &r.host, nil
}

// reader collects the settings and the faults of one file.
type reader struct {
	path   string
	file   *ini.File
	host   Host
	faults []Fault
}

func (r *reader) fault(section, name, what, allowed string) {
	r.faults = append(r.faults, Fault{File: r.path, Section: section, Key: name, What: what, Allowed: allowed})
}

// findUnknown reports sections and keys that have no meaning.
func (r *reader) findUnknown() {
	for _, section := range r.file.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, k := range section.Keys() {
				r.fault("", k.Name(), "stands before the first section", "a key within one of the sections "+list(sections()))
			}
			continue
		}
		if !slices.Contains(sections(), section.Name()) {
			r.fault(section.Name(), "", "section is not known", list(sections()))
			continue
		}
		for _, k := range section.Keys() {
			if !slices.Contains(names(section.Name()), k.Name()) {
				r.fault(section.Name(), k.Name(), "key is not known", list(names(section.Name())))
			}
		}
	}
}

// readKeys sets each key that the file gives.
func (r *reader) readKeys() {
	for _, k := range keys {
		section, err := r.file.GetSection(k.section)
		given := err == nil && section.HasKey(k.name)
		if !given {
			if k.standard == "" && !k.optional {
				r.fault(k.section, k.name, "is missing", k.allowed)
			}
			continue
		}
		values := section.Key(k.name).ValueWithShadows()
		if len(values) > 1 {
			r.fault(k.section, k.name, "is given more than once", "one value")
			continue
		}
		value := strings.TrimSpace(section.Key(k.name).Value())
		if !k.set(&r.host, value) {
			r.fault(k.section, k.name, describeValue(k.name, value), k.allowed)
		}
	}
}

// describeValue names an invalid value, unless it is secret.
func describeValue(name, value string) string {
	if name == credentialKey {
		return "the value is not allowed"
	}
	return fmt.Sprintf("%q is not allowed", value)
}

// readCredentialFile reads the credential from its file.
func (r *reader) readCredentialFile() {
	section, err := r.file.GetSection("upstream")
	if err != nil || !section.HasKey(credentialFileKey) {
		return
	}
	if section.HasKey(credentialKey) {
		r.fault("upstream", credentialFileKey, "is given together with "+credentialKey, "one of the two")
		return
	}
	path := section.Key(credentialFileKey).Value()
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(r.path), path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		r.fault("upstream", credentialFileKey, fmt.Sprintf("cannot be read: %s", err), "the path of a file with one line")
		return
	}
	value := strings.TrimRight(string(data), "\r\n")
	reading := text(func(h *Host) *string { return &h.Upstream.Credential })
	if value == "" || !reading.set(&r.host, value) {
		r.fault("upstream", credentialFileKey, "the file's content is not allowed", "one line with "+reading.allowed)
	}
}

// checkAddresses reports addresses that are used twice.
func (r *reader) checkAddresses() {
	seen := make(map[string]string)
	for _, pair := range [][2]string{
		{"entry_address", r.host.EntryAddress},
		{"admin_address", r.host.AdminAddress},
		{"control_address", r.host.ControlAddress},
	} {
		name, value := pair[0], pair[1]
		if first, taken := seen[value]; taken && value != "" {
			r.fault("host", name, "is the same as "+first, "an address of its own")
		}
		seen[value] = name
	}
}

// sections returns the names of the sections in order.
func sections() []string {
	var found []string
	for _, k := range keys {
		if !slices.Contains(found, k.section) {
			found = append(found, k.section)
		}
	}
	return found
}

// names returns the keys of a section in order.
func names(section string) []string {
	var found []string
	for _, k := range keys {
		if k.section == section {
			found = append(found, k.name)
		}
	}
	return found
}

func list(names []string) string { return strings.Join(names, ", ") }
