package settings

import (
	"reflect"
	"strings"
)

// knownKeys returns the dotted TOML keys of the settings structure s.
func knownKeys(s any) []string {
	var keys []string
	collectKeys(reflect.TypeOf(s), "", &keys)
	return keys
}

func collectKeys(t reflect.Type, prefix string, keys *[]string) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if f.Anonymous && tag == "" {
			collectKeys(f.Type, prefix, keys)
			continue
		}
		if tag == "" || tag == "-" {
			continue
		}
		key := prefix + tag
		*keys = append(*keys, key)
		collectKeys(f.Type, key+".", keys)
	}
}
