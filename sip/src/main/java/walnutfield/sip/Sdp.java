package walnutfield.sip;

import gov.nist.javax.sdp.MediaDescriptionImpl;
import gov.nist.javax.sdp.SessionDescriptionImpl;
import gov.nist.javax.sdp.parser.SDPAnnounceParser;
import java.util.Vector;
import javax.sdp.BandWidth;
import javax.sdp.SdpException;

/**
 * What a session description (RFC 8866) tells of video, and the same description at another rate. Read with JAIN's parser;
 * what is not understood is kept as it is.
 *
 * @param text     as it came
 * @param video    it has a video stream that is not refused (port 0; RFC 3264, section 6)
 * @param kbitS    what its video may use: the most narrow of b=AS, b=TIAS (RFC 3890) and the session's b=CT or AS less
 *                 its audio's; NaN where nothing is told
 */
public record Sdp(String text, boolean video, double kbitS) {
    private static final int MOST = 16_384;

    /** Reads a description; a {@link Malformed} with 400 or 488 tells what is wrong. */
    public static Sdp read(String text) throws Malformed {
        if (text.length() > MOST) {
            throw new Malformed(513, "a description over " + MOST + " bytes");
        }
        if (!text.startsWith("v=0")) {
            throw new Malformed(400, "no session description");
        }
        try {
            SessionDescriptionImpl s =
                    new SDPAnnounceParser(text.replace("\r\n", "\n").replace("\n", "\r\n")).parse();
            double session = narrow(s.getBandwidths(false));
            double audio = 0;
            double video = Double.NaN;
            int videos = 0;
            Vector<?> all = s.getMediaDescriptions(true);
            for (Object o : all) {
                MediaDescriptionImpl m = (MediaDescriptionImpl) o;
                double kbit = narrow(m.getBandwidths(false));
                if (m.getMedia().getMediaPort() == 0) {
                    continue;
                }
                if (m.getMedia().getMediaType().equals("video")) {
                    videos++;
                    video = Double.isNaN(video)
                            ? kbit
                            : Double.isNaN(kbit) ? video : Math.max(video, kbit); // the main one
                } else if (!Double.isNaN(kbit)) {
                    audio += kbit;
                }
            }
            double left = session - audio;
            double most = Double.isNaN(video) ? left : Double.isNaN(left) ? video : Math.min(video, left);
            return new Sdp(text, videos > 0, most);
        } catch (SdpException | java.text.ParseException | RuntimeException e) {
            throw new Malformed(400, "a malformed description: " + e.getMessage());
        }
    }

    private static double narrow(Vector<?> bandwidths) throws SdpException {
        double least = Double.NaN;
        for (Object o : bandwidths == null ? new Vector<>() : bandwidths) {
            BandWidth b = (BandWidth) o;
            double kbit = switch (b.getType()) {
                case "AS", "CT" -> b.getValue();
                case "TIAS" -> b.getValue() / 1000.0;
                default -> Double.NaN;
            };
            least = Double.isNaN(least) ? kbit : Double.isNaN(kbit) ? least : Math.min(least, kbit);
        }
        return least;
    }

    /**
     * The same description with this rate for each video stream, as b=AS (rounded up) and b=TIAS, in their place after i= and
     * c= (RFC 8866, section 5).
     */
    public String at(double videoKbitS) {
        StringBuilder out = new StringBuilder();
        boolean inVideo = false;
        boolean told = true;
        for (String line : text.split("\r?\n")) {
            if (line.startsWith("m=")) {
                out.append(told ? "" : rate(videoKbitS));
                inVideo = line.startsWith("m=video");
                told = !inVideo;
            } else if (inVideo && (line.startsWith("b=AS:") || line.startsWith("b=TIAS:"))) {
                continue;
            } else if (inVideo && !told && !line.startsWith("i=") && !line.startsWith("c=")) {
                out.append(rate(videoKbitS));
                told = true;
            }
            if (!line.isEmpty()) {
                out.append(line).append("\r\n");
            }
        }
        return out.append(told ? "" : rate(videoKbitS)).toString();
    }

    private static String rate(double kbitS) {
        return "b=AS:" + (long) Math.ceil(kbitS) + "\r\nb=TIAS:" + Math.round(kbitS * 1000) + "\r\n";
    }

    /** A plain description of one video stream. */
    public static String of(String address, int port, long version, double kbitS) {
        return "v=0\r\no=- " + version + " " + version + " IN IP4 " + address + "\r\ns=-\r\nc=IN IP4 " + address
                + "\r\nt=0 0\r\nm=video " + port + " RTP/AVP 96\r\n" + rate(kbitS) + "a=rtpmap:96 H264/90000\r\n";
    }
}
