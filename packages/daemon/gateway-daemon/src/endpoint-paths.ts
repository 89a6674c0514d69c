/**
 * The network paths of this daemon to the endpoints, by service. A service may be unreachable while others are not.
 */
import { EndpointPath, type EndpointPathOptions } from './endpoint-path.js';

/** Options of `EndpointPaths`. */
export interface EndpointPathsOptions extends Pick<
  EndpointPathOptions,
  'connect' | 'onError' | 'now' | 'random'
> {
  /** Addresses of the endpoints of a service. */
  readonly listAddresses: (service: string) => readonly string[];
  readonly onChange: (service: string, lost: boolean) => void;
}

/** The network paths of this daemon, by service. */
export class EndpointPaths {
  private readonly paths = new Map<string, EndpointPath>();

  constructor(private readonly options: EndpointPathsOptions) {}

  /** Returns the path to the endpoints of a service. */
  get(service: string): EndpointPath {
    let path = this.paths.get(service);
    if (path === undefined) {
      const { connect, onError, now, random, listAddresses, onChange } = this.options;
      path = new EndpointPath({
        connect,
        onError,
        now,
        random,
        listAddresses: () => listAddresses(service),
        onChange: (lost) => onChange(service, lost),
      });
      this.paths.set(service, path);
    }
    return path;
  }

  close(): void {
    for (const path of this.paths.values()) {
      path.close();
    }
  }
}
