/**
 * The sessions of all hosts, as the key-value service reports them.
 *
 * @module
 */
import { rankHosts } from "./candidates.js";

/** A host whose session ended may be cut off, and hold engines by consent; it is remembered for this long. */
const ENDED_SESSION_RETENTION_MILLISECONDS = 60_000;

/** Hosts with a session, and those whose session ended a short time ago. */
export class FleetSessions {
    readonly #sessions = new Map<string, string>();
    /** When the sessions of hosts without one ended. */
    readonly #endedAt = new Map<string, number>();
    /** Cleared when a session begins or ends. */
    #ranked: readonly string[] | undefined;

    /** Records the session of a host; `undefined` where it has ended. */
    set(host: string, session: string | undefined, nowMilliseconds: number): void {
        this.#ranked = undefined;
        if (session !== undefined) {
            this.#sessions.set(host, session);
            this.#endedAt.delete(host);
        }
        else if (this.#sessions.delete(host)) {
            this.#endedAt.set(host, nowMilliseconds);
        }
    }

    sessionOf(host: string): string | undefined {
        return this.#sessions.get(host);
    }

    /** Returns the hosts with a session, in order of preference as holders. */
    ranked(): readonly string[] {
        this.#ranked ??= rankHosts([...this.#sessions.keys()]);
        return this.#ranked;
    }

    /** Returns the hosts with a session, and those whose session ended a short time ago. */
    presentAndEnded(): string[] {
        return [...this.#sessions.keys(), ...this.#endedAt.keys()];
    }

    /** Forgets sessions that ended long ago. */
    forgetEnded(nowMilliseconds: number): void {
        for (const [host, endedAtMilliseconds] of this.#endedAt) {
            if (nowMilliseconds - endedAtMilliseconds > ENDED_SESSION_RETENTION_MILLISECONDS) {
                this.#endedAt.delete(host);
            }
        }
    }
}
