/**
 * The tRPC router of the peer port.
 */
import { initTRPC, TRPCError } from '@trpc/server';
import { procedures, type Caller, type PeerHandlers } from './messages.js';

/** The context of one call. */
export interface PeerContext {
  readonly caller: Caller;
  readonly handlers: Partial<PeerHandlers>;
}

const trpc = initTRPC.context<PeerContext>().create({ isDev: false });

function requireHandler<Name extends keyof PeerHandlers>(
  context: PeerContext,
  name: Name,
): PeerHandlers[Name] {
  const handler = context.handlers[name];
  if (handler === undefined) {
    throw new TRPCError({ code: 'NOT_FOUND', message: `this daemon has no handler for ${name}` });
  }
  return handler;
}

/** The router; each procedure calls the handler with the same name. */
export const peerRouter = trpc.router({
  probe: trpc.procedure
    .input(procedures.probe.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'probe')(input, ctx.caller)),
  indirectProbe: trpc.procedure
    .input(procedures.indirectProbe.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'indirectProbe')(input, ctx.caller)),
  pushChange: trpc.procedure
    .input(procedures.pushChange.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'pushChange')(input, ctx.caller)),
  pullChanges: trpc.procedure
    .input(procedures.pullChanges.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'pullChanges')(input, ctx.caller)),
  summary: trpc.procedure
    .input(procedures.summary.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'summary')(input, ctx.caller)),
  installRecords: trpc.procedure
    .input(procedures.installRecords.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'installRecords')(input, ctx.caller)),
  activateRecords: trpc.procedure
    .input(procedures.activateRecords.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'activateRecords')(input, ctx.caller)),
  completeRecord: trpc.procedure
    .input(procedures.completeRecord.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'completeRecord')(input, ctx.caller)),
  reportDrain: trpc.procedure
    .input(procedures.reportDrain.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'reportDrain')(input, ctx.caller)),
  reportCrash: trpc.procedure
    .input(procedures.reportCrash.input)
    .mutation(async ({ ctx, input }) => requireHandler(ctx, 'reportCrash')(input, ctx.caller)),
});

/** Type of the router, for clients. */
export type PeerRouter = typeof peerRouter;

/** Creates the functions that call the procedures on behalf of one connection. */
export const createPeerCaller = trpc.createCallerFactory(peerRouter);

/** The functions that call the procedures of the router. */
export type PeerCaller = ReturnType<typeof createPeerCaller>;
