/**
 * Cuts some of the hosts in this process off from upstreams, while callers, peers and the store still reach them.
 *
 * @module
 */
import { AsyncLocalStorage } from "node:async_hooks";
import { type AddressInfo, connect, createServer, type Server, Socket } from "node:net";

/** What happens to the connections of a host that is cut off. */
export type CutMode =
    /** Open ones are reset, new ones refused. */
    | "refused"
    /** Open ones fall silent, new ones are not established. */
    | "silent"
    /** Open ones go on, new ones are refused. */
    | "kept";

const LOOPBACK = "127.0.0.1";

/** A port at which nobody listens. */
const CLOSED_PORT = 1;

interface ConnectOptions {
    readonly port?: number;
}

type Connect = (this: Socket, ...parameters: unknown[]) => Socket;

/** Connects hosts to upstreams through relays, which it can cut. */
export class CutHosts {
    readonly #hosts = new AsyncLocalStorage<string>();
    readonly #relays = new Map<number, { readonly server: Server; readonly port: number; }>();
    readonly #cut = new Set<string>();
    /** Both ends of each relayed connection, by the host that opened it. */
    readonly #connections = new Map<Socket, { readonly host: string; readonly ends: readonly [Socket, Socket]; }>();
    /** Local ports of connections to relays, by the host that opened them. */
    readonly #hostsByPort = new Map<number, string>();
    readonly #original: Connect;
    #mode: CutMode = "refused";

    constructor() {
        this.#original = Reflect.get(Socket.prototype, "connect") as Connect;
        const connectThrough = this.#connect.bind(this);
        Reflect.set(Socket.prototype, "connect", function(this: Socket, ...parameters: unknown[]): Socket {
            return connectThrough(this, parameters);
        });
    }

    /** Relays connections of hosts to an upstream. */
    async addUpstream(address: string): Promise<void> {
        const port = Number(address.slice(address.lastIndexOf(":") + 1));
        const server = createServer(socket => this.#relay(socket, port));
        await new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve));
        this.#relays.set(port, { server, port: (server.address() as AddressInfo).port });
    }

    /** Starts a host whose connections this object can cut. */
    start<Result>(host: string, start: () => Promise<Result>): Promise<Result> {
        return this.#hosts.run(host, start);
    }

    cut(hosts: readonly string[], mode: CutMode): void {
        this.#mode = mode;
        hosts.forEach(host => this.#cut.add(host));
        for (const { ends: [near, far], host } of this.#connections.values()) {
            if (!this.#cut.has(host) || mode === "kept") {
                continue;
            }
            if (mode === "silent") {
                near.unpipe();
                far.unpipe();
            }
            else {
                near.resetAndDestroy();
            }
        }
    }

    /** Ends the cut; connections that fell silent stay so. */
    heal(): void {
        this.#cut.clear();
    }

    async close(): Promise<void> {
        Reflect.set(Socket.prototype, "connect", this.#original);
        for (const { ends } of this.#connections.values()) {
            ends.forEach(end => end.destroy());
        }
        await Promise.all(
            [...this.#relays.values()].map(({ server }) => new Promise(resolve => server.close(resolve))),
        );
    }

    #connect(socket: Socket, parameters: unknown[]): Socket {
        const [first] = parameters;
        const [options, ...others] = (Array.isArray(first) ? first : parameters) as [ConnectOptions, ...unknown[]];
        const relay = this.#relays.get(options.port ?? 0);
        const host = this.#hosts.getStore();
        if (relay === undefined || host === undefined) {
            return Reflect.apply(this.#original, socket, parameters);
        }
        if (this.#cut.has(host) && this.#mode === "silent") {
            Reflect.set(socket, "connecting", true);
            return socket;
        }
        const port = this.#cut.has(host) ? CLOSED_PORT : relay.port;
        socket.once("connect", () => this.#hostsByPort.set(socket.localPort ?? 0, host));
        const replaced = [{ ...options, port }, ...others];
        return Reflect.apply(
            this.#original,
            socket,
            Array.isArray(first) ? [Object.assign(first, replaced)] : replaced,
        );
    }

    #relay(near: Socket, port: number): void {
        const far = connect(port, LOOPBACK);
        near.pipe(far);
        far.pipe(near);
        setImmediate(() => {
            const host = this.#hostsByPort.get(near.remotePort ?? 0) ?? "";
            this.#connections.set(near, { host, ends: [near, far] });
        });
        for (const end of [near, far]) {
            end.on("error", () => undefined);
            end.on("close", () => {
                near.destroy();
                far.destroy();
                this.#connections.delete(near);
            });
        }
    }
}
