// Package settings reads the INI file of a host. Every fault names its section, its key
// and the allowed values. docs/settings.md lists the keys.
package settings
