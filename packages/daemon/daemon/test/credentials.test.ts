import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import { tmpdir } from 'node:os';
import * as path from 'node:path';
import { after, before, test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { readPeerTls } from '../src/credentials.js';

const certificates = new URL('../../../../peers/peer-link/test/certificates/', import.meta.url);
const certificateText = await fs.readFile(new URL('daemon-a.pem', certificates), 'utf8');
const keyText = await fs.readFile(new URL('daemon-a.key.pem', certificates), 'utf8');
let directory = '';

before(async () => {
  directory = await fs.mkdtemp(path.join(tmpdir(), 'credentials-'));
});

after(async () => fs.rm(directory, { recursive: true }));

async function readWithAuthority(authority: string, key = keyText): Promise<readonly unknown[]> {
  const files = {
    certificateFile: path.join(directory, 'daemon.pem'),
    keyFile: path.join(directory, 'daemon.key'),
    authorityFiles: [path.join(directory, 'authority.pem')],
  };
  await fs.writeFile(files.certificateFile, certificateText);
  await fs.writeFile(files.keyFile, key);
  await fs.writeFile(path.join(directory, 'authority.pem'), authority);
  return (await readPeerTls(files)).authorities;
}

test('an authority file without a valid certificate is refused, as TLS would silently trust no peer', async () => {
  const broken = certificateText.replace('MI', '!!');
  for (const text of ['', 'junk', broken]) {
    await assert.rejects(readWithAuthority(text), (error) =>
      results.isFailure(error, 'KeyFileInvalid'),
    );
  }
});

test('both authorities of a rotation are read, even without a line break between them', async () => {
  const certificate = certificateText.trimEnd();
  assert.equal((await readWithAuthority(`${certificate}${certificate}`)).length, 2);
  assert.equal((await readWithAuthority(`${certificate}\n${certificate}\n`)).length, 2);
});

test('a key that does not belong to its certificate is refused', async () => {
  await assert.rejects(readWithAuthority(certificateText, 'no key'), (error) =>
    results.isFailure(error, 'KeyFileInvalid'),
  );
});
