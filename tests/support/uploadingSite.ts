/**
 * A host in a process of its own before an engine whose answers the test writes byte by byte, and callers that upload to
 * it side by side.
 *
 * @module
 */
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { createEntrySettings, type EntryProgram, startEntryProgram, waitUntilProgramReady } from "./entryProgram.js";
import { type CallerAnswer, type CallerRequest, callHost, HOST_NAME, until } from "./entrySite.js";
import { renderHead } from "./rawEngine.js";

const HEAD_END = "\r\n\r\n";

/** An upload that has arrived at the engine: its head was read, and of its body what came with it. */
export interface ArrivedUpload {
    readonly id: string;
    readonly socket: Socket;
    /** Bytes of the body that were read until now. */
    readonly readBytes: () => number;
    /** Resolves once this many bytes of the body were read, or the connection has ended. */
    readonly read: (byteCount: number) => Promise<void>;
    readonly bodyBytes: number;
}

/** Answers an upload. */
export type AnswerUpload = (upload: ArrivedUpload) => void | Promise<void>;

/** A site of one host, one such engine and one sound engine of another service. */
export interface UploadingSite {
    /** How the engine answers from now on. */
    answer: AnswerUpload;
    readonly program: EntryProgram;
    call(request: CallerRequest): Promise<CallerAnswer>;
    /** Sends the same number of uploads to each of the routes, all at once. */
    uploadSideBySide(paths: readonly string[], options: UploadOptions): Promise<readonly CallerAnswer[]>;
    close(): Promise<void>;
}

/** Size and number of uploads. */
export interface UploadOptions {
    readonly count: number;
    readonly bytes: number;
}

/** Returns the head of a success that names the request, and neither a length nor chunks. */
export function renderSuccess(id: string, version = "1.1"): string {
    return renderHead(id, "").replace("HTTP/1.1", `HTTP/${version}`);
}

/** Reads what arrives on a connection, and reports the head of its only request. */
function receive(socket: Socket, onHead: (upload: ArrivedUpload) => void): void {
    let head = "";
    let hasHead = false;
    let bodyBytes = 0;
    const waiting = new Map<() => void, number>();
    const wake = (): void => {
        for (const [resolve, byteCount] of waiting) {
            if (bodyBytes >= byteCount || socket.destroyed) {
                waiting.delete(resolve);
                resolve();
            }
        }
    };
    socket.on("error", () => undefined);
    socket.on("close", wake);
    socket.on("data", (piece: Buffer) => {
        if (hasHead) {
            bodyBytes += piece.length;
            wake();
            return;
        }
        head += piece.toString("latin1");
        const end = head.indexOf(HEAD_END);
        if (end < 0) {
            return;
        }
        hasHead = true;
        bodyBytes = head.length - end - HEAD_END.length;
        onHead({
            id: /flamingospread-request-id: (\S+)/i.exec(head)?.[1] ?? "",
            socket,
            bodyBytes: Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0),
            readBytes: () => bodyBytes,
            read: byteCount =>
                new Promise(resolve => {
                    waiting.set(resolve, byteCount);
                    wake();
                }),
        });
    });
}

async function listen(server: Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    return `127.0.0.1:${address.port}`;
}

function configure(store: PlatformStoreStandIn, maximumBodyBytes: number): void {
    const route = (name: string, kind: string, service = "uploads", fields: object = {}): object => ({
        name,
        host: HOST_NAME,
        pathPrefix: `/${name}/`,
        kind,
        timeoutMs: 10_000,
        targetLatencyMs: 200,
        priority: 0,
        service,
        maxAttempts: 2,
        ...fields,
    });
    store.put("op/config", {
        version: 1,
        routes: [
            route("reads", "idempotent"),
            route("orders", "non_idempotent"),
            route("once", "stream", "uploads", { resumable: false }),
            route("sound", "idempotent", "sound"),
        ],
        services: ["uploads", "sound"].map(name => ({ name, maxConnections: 400 })),
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: maximumBodyBytes,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 15_000,
        },
    });
}

/**
 * Starts the site.
 *
 * @param maximumBodyBytes Size of the largest upload.
 */
export async function startUploadingSite(maximumBodyBytes: number): Promise<UploadingSite> {
    const store = await PlatformStoreStandIn.start();
    const sound = await PlatformUpstreamStandIn.start({ id: "i-sound", slots: 200 });
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        receive(socket, upload => void site.answer(upload));
    });
    const address = await listen(server);
    configure(store, maximumBodyBytes);
    store.put("servers/i-sound", sound.announcement("sound"));
    store.put("servers/i-uploads", { ...sound.announcement("uploads"), address });
    const { callers, readiness, text } = await createEntrySettings(store.address);
    const program = startEntryProgram(text);
    const host = { settings: { callers: { address: "127.0.0.1", port: callers } } };
    const site: UploadingSite = {
        answer: () => undefined,
        program,
        call: request => callHost(host, request),
        uploadSideBySide: (paths, { bytes, count }) => {
            const body = "u".repeat(bytes);
            const calls = Array.from({ length: count }, (_, index) => paths[index % paths.length] ?? "");
            return Promise.all(calls.map(path => callHost(host, { path, method: "POST", body })));
        },
        close: async () => {
            await program.close();
            sockets.forEach(socket => socket.destroy());
            server.close();
            await sound.close();
            await store.close();
        },
    };
    await waitUntilProgramReady({ readiness });
    await until(async () => (await site.call({ path: "/sound/1" })).status === 200);
    return site;
}
