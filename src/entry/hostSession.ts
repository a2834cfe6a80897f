/**
 * This host's session in the key-value service: a lease, and a record bound to it that names the host.
 *
 * @module
 */
import { type ClockReading } from "../duties/index.js";
import { type HostAddresses, type HostRegistration } from "../generated/gossip.js";
import { type Logger } from "../observability/index.js";
import { type KeyValueService, type PlatformError } from "../platform/index.js";

/** A host that dies is taken as gone after this time. */
const LEASE_MILLISECONDS = 4_000;

/** Pause after a failed call. */
const RETRY_MILLISECONDS = 450;

/** Begins the keys of hosts' records. */
export const HOST_KEY_PREFIX = "hosts/";

/** Options of a session. */
export interface HostSessionOptions {
    readonly host: string;
    readonly zone: string;
    readonly addresses: HostAddresses;
    readonly keyValue: KeyValueService;
    readonly logger: Logger;
    readonly readClocks: () => ClockReading;
    /** Time until the next renewal. */
    readonly renewalMilliseconds: () => number;
    /** Revision of this host's record, as the mirror knows it; 0 for none. */
    readonly recordRevision: () => number;
    /** The session stands; the reading is from before the call that confirmed it. */
    readonly onConfirmed: (session: string, sentAt: ClockReading) => void;
    readonly onLost: () => void;
    readonly onContact: (succeeded: boolean) => void;
    /** A call on a connection got no answer in time, as on one that fell silent. */
    readonly onSilence: () => void;
}

/** Keeps a session until closed; a session that ended is followed by another. */
export class HostSession {
    readonly #options: HostSessionOptions;
    #lease: string | undefined;
    #registered = false;
    #timer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: HostSessionOptions) {
        this.#options = options;
    }

    start(): void {
        void this.#step();
    }

    /** The host's record was removed, though its session may not know. */
    recordRemoved(): void {
        if (this.#registered) {
            this.#lose("the record was removed");
        }
    }

    /** Begins another session, since the service may have lost this one. */
    beginAnew(reason: string): void {
        if (this.#lease !== undefined && !this.#closed) {
            this.#lose(reason);
        }
    }

    /** Lets the session run out. */
    abandon(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    /** Ends the session, so that the host's record is gone at once. */
    async close(): Promise<void> {
        this.abandon();
        const lease = this.#lease;
        this.#lease = undefined;
        if (lease !== undefined) {
            await this.#options.keyValue.revokeLease(lease);
        }
    }

    async #step(): Promise<void> {
        if (this.#lease === undefined) {
            await this.#begin();
        }
        else if (!this.#registered) {
            await this.#register(this.#lease);
        }
        else {
            await this.#renew(this.#lease);
        }
    }

    #next(milliseconds: number): void {
        if (!this.#closed) {
            this.#timer = setTimeout(() => void this.#step(), milliseconds);
        }
    }

    async #begin(): Promise<void> {
        const granted = await this.#options.keyValue.grantLease(LEASE_MILLISECONDS);
        if (granted.isErr()) {
            this.#noteFailure("grant", granted.error);
            return;
        }
        this.#options.onContact(true);
        this.#lease = granted.value.lease;
        this.#next(0);
    }

    async #register(lease: string): Promise<void> {
        const { host, zone, addresses, keyValue, readClocks } = this.#options;
        const sentAt = readClocks();
        const record: HostRegistration = { host, session: lease, zone, addresses };
        const swapped = await keyValue.compareAndSwap(`${HOST_KEY_PREFIX}${host}`, {
            expectedRevision: this.#options.recordRevision(),
            value: JSON.stringify(record),
            lease,
        });
        if (swapped.isErr()) {
            if (swapped.error.kind === "rejected") {
                this.#lose("the lease ended before the host was registered");
            }
            this.#noteFailure("register", swapped.error);
            return;
        }
        this.#options.onContact(true);
        if (swapped.value.type === "conflict") {
            this.#resolveConflict(lease, swapped.value.current?.value, sentAt);
            return;
        }
        this.#confirm(lease, sentAt, "session began");
    }

    /** A lost answer may have hidden that the record was written. */
    #resolveConflict(lease: string, current: string | undefined, sentAt: ClockReading): void {
        if (current?.includes(`"session":${JSON.stringify(lease)}`) === true) {
            this.#confirm(lease, sentAt, "session began");
            return;
        }
        this.#next(RETRY_MILLISECONDS);
    }

    #confirm(lease: string, sentAt: ClockReading, message: string): void {
        this.#registered = true;
        this.#options.logger.info(message, { session: lease });
        this.#options.onConfirmed(lease, sentAt);
        this.#next(this.#options.renewalMilliseconds());
    }

    async #renew(lease: string): Promise<void> {
        const sentAt = this.#options.readClocks();
        const renewed = await this.#options.keyValue.renewLease(lease);
        if (lease !== this.#lease) {
            this.#next(0);
            return;
        }
        if (renewed.isOk()) {
            this.#options.onContact(true);
            this.#options.onConfirmed(lease, sentAt);
            this.#next(this.#options.renewalMilliseconds());
            return;
        }
        if (renewed.error.kind === "rejected") {
            this.#lose("the lease ended");
            this.#next(0);
            return;
        }
        this.#noteFailure("renew", renewed.error);
    }

    #lose(reason: string): void {
        this.#options.logger.warn("session lost", { session: this.#lease, reason });
        this.#lease = undefined;
        this.#registered = false;
        this.#options.onLost();
    }

    #noteFailure(call: string, error: PlatformError): void {
        this.#options.logger.debug("session call failed", { call, reason: error.kind, detail: error.message });
        this.#options.onContact(false);
        if (error.kind === "no-answer") {
            this.#options.onSilence();
        }
        this.#next(RETRY_MILLISECONDS);
    }
}
