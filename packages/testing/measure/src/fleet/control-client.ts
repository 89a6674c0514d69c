/**
 * HTTP client for the control address of a stand-in.
 */
import * as results from '@dogwoodstall/results';
import * as undici from 'undici';

/** Sends control calls to one stand-in process. */
export class ControlClient {
  readonly address: string;

  constructor(address: string) {
    this.address = address;
  }

  async get<Body>(path: string): Promise<Body> {
    return this.call<Body>('GET', path, undefined);
  }

  async post<Body>(path: string, body: unknown): Promise<Body> {
    return this.call<Body>('POST', path, JSON.stringify(body));
  }

  private async call<Body>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<Body> {
    const options = { method, body: body ?? null };
    const response = await undici.request(`http://${this.address}${path}`, options);
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new results.FailureError('InternalError', `control call ${path} failed: ${text}`);
    }
    return JSON.parse(text) as Body;
  }
}
