package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Load reads a settings file. The returned Host is nil if there are faults.
func Load(path string) (*Host, []Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{File: path, Message: fmt.Sprintf("cannot be read: %s", err)}}
	}
	return Parse(path, data)
}

// Parse parses the text of a settings file. path identifies the file in faults, and
// relative paths in the text are resolved against its directory.
func Parse(path string, data []byte) (*Host, []Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}, data)
	if err != nil {
		return nil, []Fault{{File: path, Message: fmt.Sprintf("is not an INI file: %s", err)}}
	}
	r := &reader{path: path, file: file, host: Default()}
	r.reportUnknown()
	r.readKeys()
	r.readCredentialFile()
	r.checkAddresses()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return &r.host, nil
}

// reader parses one file and collects its settings and faults.
type reader struct {
	path   string
	file   *ini.File
	host   Host
	faults []Fault
}

func (r *reader) addFault(section, name, message, allowed string) {
	r.faults = append(r.faults, Fault{File: r.path, Section: section, Key: name, Message: message, Allowed: allowed})
}

// reportUnknown reports unknown sections and keys.
func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, k := range section.Keys() {
				r.addFault("", k.Name(), "is outside of any section", "a key within one of the sections "+joinNames(sectionNames()))
			}
			continue
		}
		if !slices.Contains(sectionNames(), section.Name()) {
			r.addFault(section.Name(), "", "unknown section", joinNames(sectionNames()))
			continue
		}
		for _, k := range section.Keys() {
			if !slices.Contains(keyNames(section.Name()), k.Name()) {
				r.addFault(section.Name(), k.Name(), "unknown key", joinNames(keyNames(section.Name())))
			}
		}
	}
}

// readKeys sets the values of the keys in the file and reports required keys that are
// missing.
func (r *reader) readKeys() {
	for _, k := range keys {
		section, err := r.file.GetSection(k.section)
		given := err == nil && section.HasKey(k.name)
		if !given {
			if k.defaultValue == "" && !k.optional {
				r.addFault(k.section, k.name, "is missing", k.allowed)
			}
			continue
		}
		values := section.Key(k.name).ValueWithShadows()
		if len(values) > 1 {
			r.addFault(k.section, k.name, "is given more than once", "one value")
			continue
		}
		value := strings.TrimSpace(section.Key(k.name).Value())
		if !k.set(&r.host, value) {
			r.addFault(k.section, k.name, describeValue(k.name, value), k.allowed)
		}
	}
}

// describeValue describes an invalid value, without the value itself if it is secret.
func describeValue(name, value string) string {
	if name == credentialKey {
		return "the value is not allowed"
	}
	return fmt.Sprintf("%q is not allowed", value)
}

// readCredentialFile reads the upstream credential from a file, if one is given.
func (r *reader) readCredentialFile() {
	section, err := r.file.GetSection("upstream")
	if err != nil || !section.HasKey(credentialFileKey) {
		return
	}
	if section.HasKey(credentialKey) {
		r.addFault("upstream", credentialFileKey, "cannot be combined with "+credentialKey, "only one of the two")
		return
	}
	path := section.Key(credentialFileKey).Value()
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(r.path), path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		r.addFault("upstream", credentialFileKey, fmt.Sprintf("cannot be read: %s", err), "the path of a file with one line")
		return
	}
	value := strings.TrimRight(string(data), "\r\n")
	credential := text(func(h *Host) *string { return &h.Upstream.Credential })
	if value == "" || !credential.set(&r.host, value) {
		r.addFault("upstream", credentialFileKey, "the file's content is not allowed", "one line with "+credential.allowed)
	}
}

// checkAddresses reports listen addresses that are used more than once.
func (r *reader) checkAddresses() {
	seen := make(map[string]string)
	for _, pair := range [][2]string{
		{"entry_address", r.host.EntryAddress},
		{"admin_address", r.host.AdminAddress},
		{"control_address", r.host.ControlAddress},
	} {
		name, value := pair[0], pair[1]
		if first, taken := seen[value]; taken && value != "" {
			r.addFault("host", name, "is the same as "+first, "a different address")
		}
		seen[value] = name
	}
}

// sectionNames returns the names of the sections, in the order of the keys table.
func sectionNames() []string {
	var found []string
	for _, k := range keys {
		if !slices.Contains(found, k.section) {
			found = append(found, k.section)
		}
	}
	return found
}

// keyNames returns the keys of a section, in the order of the keys table.
func keyNames(section string) []string {
	var found []string
	for _, k := range keys {
		if k.section == section {
			found = append(found, k.name)
		}
	}
	return found
}

func joinNames(names []string) string { return strings.Join(names, ", ") }
