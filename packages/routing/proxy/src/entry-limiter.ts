/**
 * Limits the requests in flight at the entry of one daemon, in total and per organisation. The limits
 * of the dispatcher apply too late to protect a daemon whose memory is already exhausted. The limit
 * per organisation protects the others from one that floods the entry.
 */
import { FailureError } from '@dogwoodstall/results';

/** Largest share of the requests in flight that one organisation may use. */
const ORGANISATION_SHARE = 0.5;

/** The reservation of one request. */
export interface EntryReservation {
  /** Counts the request towards its organisation; throws `OrganisationShareExceeded`. */
  assignOrganisation(organisation: string): void;
  /** Releases the reservation; idempotent. */
  release(): void;
}

/** Counts and limits the caller requests in flight at one daemon. */
export class EntryLimiter {
  private total = 0;

  private readonly byOrganisation = new Map<string, number>();

  private readonly organisationLimit: number;

  constructor(private readonly limit: number) {
    this.organisationLimit = Math.max(1, Math.floor(limit * ORGANISATION_SHARE));
  }

  /** Reserves capacity for a request; throws `DaemonFull`. */
  reserve(): EntryReservation {
    if (this.total >= this.limit) {
      throw new FailureError('DaemonFull');
    }
    this.total += 1;
    let organisation: string | undefined;
    let released = false;
    return {
      assignOrganisation: (name) => {
        this.countOrganisation(name);
        organisation = name;
      },
      release: () => {
        if (!released) {
          released = true;
          this.release(organisation);
        }
      },
    };
  }

  private countOrganisation(name: string): void {
    const count = this.byOrganisation.get(name) ?? 0;
    if (count >= this.organisationLimit) {
      throw new FailureError('OrganisationShareExceeded');
    }
    this.byOrganisation.set(name, count + 1);
  }

  private release(organisation: string | undefined): void {
    this.total -= 1;
    if (organisation === undefined) {
      return;
    }
    const count = (this.byOrganisation.get(organisation) ?? 1) - 1;
    if (count === 0) {
      this.byOrganisation.delete(organisation);
    } else {
      this.byOrganisation.set(organisation, count);
    }
  }
}
