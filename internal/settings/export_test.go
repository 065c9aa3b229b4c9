package settings

// DocumentedDefaults returns the default of each "section.key". The value is "required"
// for required keys and "none" for optional keys without a default.
func DocumentedDefaults() map[string]string {
	defaults := make(map[string]string, len(keys))
	for _, k := range keys {
		switch {
		case k.defaultValue != "":
			defaults[k.section+"."+k.name] = k.defaultValue
		case k.optional:
			defaults[k.section+"."+k.name] = "none"
		default:
			defaults[k.section+"."+k.name] = "required"
		}
	}
	return defaults
}
