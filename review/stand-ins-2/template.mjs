/** Fills in the template of a daemon's settings from the fields of a machine, as DEPLOY.md describes it. */

function find(scopes, name) {
  if (name === '.') {
    return scopes[0].value;
  }
  for (const { value } of scopes) {
    let found = value;
    for (const part of name.split('.')) {
      found = found === null || typeof found !== 'object' ? undefined : found[part];
    }
    if (found !== undefined) {
      return found;
    }
  }
  return undefined;
}

function isPresent(value) {
  return value !== undefined && value !== null && value !== false;
}

function renderSection(kind, name, inner, scopes) {
  const value = find(scopes, name);
  if (kind === '^') {
    return isPresent(value) ? '' : render(inner, scopes);
  }
  if (!isPresent(value)) {
    return '';
  }
  if (typeof value !== 'object') {
    return render(inner, scopes);
  }
  const entries = Object.entries(value);
  return entries
    .map(([key, entry], index) =>
      render(inner, [{ value: entry, key, isLast: index === entries.length - 1 }, ...scopes]),
    )
    .join('');
}

function renderValue(text, scopes) {
  if (text === ',') {
    return scopes[0].isLast ? '' : ',';
  }
  if (text === '@') {
    return scopes[0].key;
  }
  const [name, format] = text.split('|');
  const value = find(scopes, name);
  if (format === 'json') {
    return JSON.stringify(value ?? null);
  }
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return value === undefined ? '' : String(value);
}

export function render(template, scopes) {
  const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
  const match = section.exec(template);
  if (match !== null) {
    const [whole, kind, name, inner] = match;
    return (
      render(template.slice(0, match.index), scopes) +
      renderSection(kind, name, inner, scopes) +
      render(template.slice(match.index + whole.length), scopes)
    );
  }
  return template.replace(/\{\{([^}]+)\}\}/g, (_whole, text) => renderValue(text, scopes));
}

/** Returns the settings file of a machine with the given fields. */
export function fillTemplate(template, fields) {
  return render(template, [{ value: fields, key: '', isLast: true }]);
}
