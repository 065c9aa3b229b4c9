// Package route holds the dynamic configuration that operators publish: routes, services,
// client accounts and limits. A Table is immutable; a new version replaces the whole table.
package route
