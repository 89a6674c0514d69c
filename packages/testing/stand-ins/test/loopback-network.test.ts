import * as assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import * as net from 'node:net';
import { type TestContext, test } from 'node:test';
import { LoopbackNetwork } from '../src/index.js';

const PORT = 18_080;
/** Numbers that no other test starts at. */
const FIRST_NUMBER = 16_300;

async function listen(context: TestContext, host: string): Promise<void> {
  const server = net.createServer();
  context.after(() => server.close());
  server.listen(PORT, host);
  await once(server, 'listening');
}

// Guards against two fleets of one process that bind the same addresses.
test('each claim of a process gets hosts of its own, on which the same port can be bound', async (context) => {
  const networks = [
    await LoopbackNetwork.claim(FIRST_NUMBER),
    await LoopbackNetwork.claim(FIRST_NUMBER),
    await LoopbackNetwork.claim(),
  ];
  for (const network of networks) {
    await listen(context, network.getHost(1));
    await listen(context, network.getHost(2));
  }
});

// Guards against two runs of one test file, for instance in two checkouts, whose daemons bind the same addresses.
test('a network that another process holds is not claimed until that process ends', async (context) => {
  const module = new URL('../src/index.js', import.meta.url).href;
  const script = `import { LoopbackNetwork } from '${module}';
    const network = await LoopbackNetwork.claim(${FIRST_NUMBER + 40});
    process.stdout.write(network.getHost(1));
    process.stdin.resume();`;
  const other = spawn(process.execPath, ['--input-type=module', '--eval', script], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  context.after(() => other.kill());
  const [output] = (await once(other.stdout, 'data')) as [Buffer];
  const host = output.toString();
  const beside = await LoopbackNetwork.claim(FIRST_NUMBER + 40);
  assert.notEqual(beside.getHost(1), host);
  other.stdin.end();
  await once(other, 'exit');
  const after = await LoopbackNetwork.claim(FIRST_NUMBER + 40);
  assert.equal(after.getHost(1), host);
});
