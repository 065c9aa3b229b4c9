// Package settings reads the INI file of one host. It states every fault with its
// section, its key and what is allowed there. docs/settings.md lists the keys.
package settings
