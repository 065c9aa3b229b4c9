package settings

// Documented returns the default of each key as "section.key", with "required" and
// "none" for keys that have none.
func Documented() map[string]string {
	defaults := make(map[string]string, len(keys))
	for _, k := range keys {
		switch {
		case k.standard != "":
			defaults[k.section+"."+k.name] = k.standard
		case k.optional:
			defaults[k.section+"."+k.name] = "none"
		default:
			defaults[k.section+"."+k.name] = "required"
		}
	}
	return defaults
}
