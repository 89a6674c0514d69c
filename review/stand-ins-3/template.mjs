/**
 * Fills in a template of settings as DEPLOY.md describes: values, values as JSON, sections and inverted sections.
 */
const TAG = /\{\{([#^/]?)([^}|]*)(\|json)?\}\}/g;

function look(name, scopes) {
  if (name === '.') {
    return scopes[0];
  }
  if (name === '@') {
    return undefined;
  }
  for (const scope of scopes) {
    let value = scope;
    for (const part of name.split('.')) {
      value = value?.[part];
    }
    if (value !== undefined) {
      return value;
    }
  }
  return undefined;
}

function format(value, asJson) {
  if (value === undefined) {
    return '';
  }
  return asJson || (typeof value === 'object' && !Array.isArray(value))
    ? JSON.stringify(value)
    : String(value);
}

function fill(text, scopes, isLast) {
  let result = '';
  let at = 0;
  TAG.lastIndex = 0;
  const tags = [...text.matchAll(TAG)];
  for (let index = 0; index < tags.length; index += 1) {
    const [tag, mark, name, json] = tags[index];
    const start = tags[index].index;
    result += text.slice(at, start);
    at = start + tag.length;
    if (mark === '') {
      result += name === ',' ? (isLast ? '' : ',') : format(look(name, scopes), json !== undefined);
      continue;
    }
    const end = tags.findIndex(
      (other, place) => place > index && other[1] === '/' && other[2] === name,
    );
    const inner = text.slice(at, tags[end].index);
    const value = look(name, scopes);
    const entries = Array.isArray(value)
      ? value
      : value === undefined || value === false
        ? []
        : [value];
    if (mark === '#') {
      entries.forEach((entry, place) => {
        result += fill(inner, [entry, ...scopes], place === entries.length - 1);
      });
    } else if (entries.length === 0) {
      result += fill(inner, scopes, true);
    }
    at = tags[end].index + tags[end][0].length;
    index = end;
  }
  return result + text.slice(at);
}

/** Returns the text of a template with the given fields. */
export function fillTemplate(template, fields) {
  return fill(template, [fields], true);
}
