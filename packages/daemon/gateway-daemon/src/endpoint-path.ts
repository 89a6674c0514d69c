/**
 * Detects that this daemon has lost its network path to all endpoints of a service, which responses can't tell from
 * endpoints that fail: several endpoints without a response between them arouse suspicion, and new connections to
 * others confirm it.
 */

/** Number of endpoints that fail, with no response of any endpoint in between, from which connections are tried. */
const SUSPICIOUS_ENDPOINTS = 2;
/** Number of endpoints to which a connection is tried; the path is lost while none succeeds. */
const PROBED_ENDPOINTS = 5;
/** Minimum time between two rounds of connections while the path is in use. */
const CONFIRM_INTERVAL_MILLISECONDS = 600;
/** Time between two rounds of connections while the path is lost; up to the same again is added at random. */
const RETURN_INTERVAL_MILLISECONDS = 400;

/** Options of `EndpointPath`. */
export interface EndpointPathOptions {
  /** Addresses of the endpoints of the service. */
  readonly listAddresses: () => readonly string[];
  /** Resolves with whether a new connection to an address was accepted, or with undefined if it could not be tried. */
  readonly connect: (address: string) => Promise<boolean | undefined>;
  readonly onChange: (lost: boolean) => void;
  /** Called with an error of the options above. */
  readonly onError: (error: unknown) => void;
  readonly now: () => number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** The network path of this daemon to the endpoints of one service. */
export class EndpointPath {
  private lost = false;

  /** Endpoints that have failed since the last response. */
  private readonly failing = new Set<string>();

  private confirmation: Promise<void> | undefined;

  private lastConfirmationAt = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  private closed = false;

  constructor(private readonly options: EndpointPathOptions) {}

  /** Whether new connections to endpoints fail. */
  get isLost(): boolean {
    return this.lost;
  }

  /** Records a response of any endpoint. */
  recordResponse(): void {
    this.failing.clear();
  }

  /** Records that an endpoint has refused a connection, closed it without a response, or is late to respond. */
  recordFailure(endpoint: string): void {
    this.failing.add(endpoint);
    const { now } = this.options;
    if (
      !this.lost &&
      this.confirmation === undefined &&
      this.failing.size >= SUSPICIOUS_ENDPOINTS &&
      now() - this.lastConfirmationAt >= CONFIRM_INTERVAL_MILLISECONDS
    ) {
      this.lastConfirmationAt = now();
      this.confirmation = this.confirm()
        .catch(this.options.onError)
        .finally(() => {
          this.confirmation = undefined;
        });
    }
  }

  /** Resolves with whether the path is lost, after connections that are being tried have ended. */
  async check(): Promise<boolean> {
    await this.confirmation;
    return this.lost;
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  private async confirm(): Promise<void> {
    const results = await this.tryConnections();
    if (results.length > 1 && results.every((accepted) => accepted === false)) {
      this.setLost(true);
    } else if (!results.includes(undefined)) {
      this.failing.clear();
    }
  }

  private setLost(lost: boolean): void {
    this.lost = lost;
    this.failing.clear();
    if (lost) {
      this.scheduleReturn();
    }
    this.options.onChange(lost);
  }

  private scheduleReturn(): void {
    if (this.closed) {
      return;
    }
    const wait = RETURN_INTERVAL_MILLISECONDS * (1 + this.options.random());
    this.timer = setTimeout(() => {
      this.tryReturn()
        .catch(this.options.onError)
        .finally(() => {
          if (this.lost) {
            this.scheduleReturn();
          }
        });
    }, wait);
    this.timer.unref();
  }

  private async tryReturn(): Promise<void> {
    const results = await this.tryConnections();
    if (results.includes(true)) {
      this.setLost(false);
    }
  }

  private tryConnections(): Promise<(boolean | undefined)[]> {
    const addresses = [...new Set(this.options.listAddresses())];
    const chosen: string[] = [];
    while (chosen.length < PROBED_ENDPOINTS && addresses.length > 0) {
      const index = Math.floor(this.options.random() * addresses.length);
      chosen.push(...addresses.splice(index, 1));
    }
    return Promise.all(chosen.map((address) => this.tryConnection(address)));
  }

  private async tryConnection(address: string): Promise<boolean | undefined> {
    try {
      return await this.options.connect(address);
    } catch (error) {
      this.options.onError(error);
      return false;
    }
  }
}
