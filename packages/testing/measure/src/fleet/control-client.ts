/**
 * Calls to the control address of a stand-in.
 */
import * as results from '@dogwoodstall/results';
import * as undici from 'undici';

/** The control address of one stand-in process. */
export class ControlClient {
  readonly address: string;

  constructor(address: string) {
    this.address = address;
  }

  async get<Answer>(path: string): Promise<Answer> {
    return this.call<Answer>('GET', path, undefined);
  }

  async post<Answer>(path: string, body: unknown): Promise<Answer> {
    return this.call<Answer>('POST', path, JSON.stringify(body));
  }

  private async call<Answer>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<Answer> {
    const options = { method, body: body ?? null };
    const answer = await undici.request(`http://${this.address}${path}`, options);
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new results.FailureError('InternalError', `control call ${path} failed: ${text}`);
    }
    return JSON.parse(text) as Answer;
  }
}
