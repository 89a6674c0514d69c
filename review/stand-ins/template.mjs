/**
 * The platform's template language: placeholders `{{a.b}}` and `{{a|json}}`, sections `{{#a}} .. {{/a}}` and
 * `{{^a}} .. {{/a}}`, and within a section `{{.}}`, `{{@}}` and `{{,}}`.
 */
const SECTION = /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}/g;
const PLACEHOLDER = /\{\{([\w.@,]+)(\|json)?\}\}/g;

function find(name, scopes) {
  if (name === '.') {
    return scopes[0].value;
  }
  const keys = name.split('.');
  for (const { value } of scopes) {
    if (Object(value)[keys[0]] !== undefined) {
      return keys.reduce((object, key) => object?.[key], value);
    }
  }
  return undefined;
}

function formatValue(value, isJson) {
  if (value === undefined || value === null) {
    return '';
  }
  if (isJson || (typeof value === 'object' && !Array.isArray(value))) {
    return JSON.stringify(value);
  }
  return String(value);
}

function renderScoped(template, scopes) {
  const [{ key, isLast }] = scopes;
  return template
    .replaceAll(SECTION, (_all, mark, name, content) => {
      const value = find(name, scopes);
      const isAbsent = value === undefined || value === null || value === false;
      if (mark === '^') {
        return isAbsent ? renderScoped(content, scopes) : '';
      }
      if (isAbsent) {
        return '';
      }
      if (typeof value !== 'object') {
        return renderScoped(content, [{ value, key: name, isLast: true }, ...scopes]);
      }
      const entries = Object.entries(value);
      const parts = entries.map(([entryKey, entry], index) =>
        renderScoped(content, [
          { value: entry, key: entryKey, isLast: index === entries.length - 1 },
          ...scopes,
        ]),
      );
      return parts.join('');
    })
    .replaceAll(PLACEHOLDER, (_all, name, json) => {
      if (name === ',') {
        return isLast ? '' : ',';
      }
      return formatValue(name === '@' ? key : find(name, scopes), json !== undefined);
    });
}

/** Renders a template with the fields of a machine. */
export function renderTemplate(template, fields) {
  return renderScoped(template, [{ value: fields, key: '', isLast: true }]);
}
